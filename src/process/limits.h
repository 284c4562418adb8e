/*
 * limits - limits of names and times in a configuration
 */
#ifndef LIMITS_H
#define LIMITS_H

#define CFG_NAME_MAX 63		       /* bytes */
#define CFG_HASH_BYTES 32	       /* keyed hash of a key's secret */
#define CFG_RUN_MAX_MS (3600u * 1000u) /* longest task lease and wait */

#endif
