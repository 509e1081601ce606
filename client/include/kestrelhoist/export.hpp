// Defines the macro that marks the exported symbols of the shared library.
#pragma once

#define KESTRELHOIST_API __attribute__((visibility("default")))
