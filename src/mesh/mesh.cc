#include "mesh/mesh.h"
