/*
 * overload - what callers of a leader with too little processor get
 */
#ifndef OVERLOAD_H
#define OVERLOAD_H

struct overload_case {
	const char *name;
	double processor_share;
	double load; /* jobs sent / jobs that a whole core carries */
};

/*
 * overload_check - fails the test if too few jobs are in time, of all or of one
 * class, or if answers to submissions are slow
 */
void overload_check(const struct overload_case *c);

#endif
