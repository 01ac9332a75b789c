#include "model/job.h"
