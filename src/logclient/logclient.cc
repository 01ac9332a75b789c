#include "logclient/logclient.h"
