#include "http/http.h"
