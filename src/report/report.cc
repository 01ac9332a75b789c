#include "report/report.h"
