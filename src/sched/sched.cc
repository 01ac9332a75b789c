#include "sched/sched.h"
