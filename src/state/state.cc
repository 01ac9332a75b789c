#include "state/state.h"
