#include "model/record.h"
