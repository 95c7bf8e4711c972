/** How a follower of keyed records reads next, so that it does not receive large records that are already superseded. */

/** Size from which reading a superseded record costs more than reading the newest of each key, bytes. */
const largeRecordBytes = 16_384
/** Largest number of records in one read. */
const maximumRecords = 1024

/** The next read: records that follow, at most `limit`, or the newest of each key. `isDue` reads have no pause before them. */
export type NextRead =
  | { readonly kind: 'records', readonly limit: number, readonly isDue: boolean }
  | { readonly kind: 'newest', readonly isDue: true }

/** What is known after a read; sizes in bytes. */
export interface ReadProgress {
  /** Number of records in the log after those that were read. */
  readonly unread: number
  /** Limit of that read. */
  readonly limit: number
  /** Size of the largest record that it returned; 0 for none. */
  readonly largestRead: number
  /** Size of the largest value among the newest of each key. */
  readonly largestHeld: number
}

/** The first read after the newest record of each key: one record at a time while any of them is large. */
export function readAfterNewest (largestHeld: number): NextRead {
  return { kind: 'records', limit: largestHeld > largeRecordBytes ? 1 : maximumRecords, isDue: false }
}

/**
 * The read after one of records. Behind a large record, the newest of each key cost less than what follows, unless that is
 * a single record; small ones are read in growing batches.
 */
export function nextRead ({ unread, limit, largestRead, largestHeld }: ReadProgress): NextRead {
  if (unread === 0) return readAfterNewest(largestHeld)
  if (largestRead > largeRecordBytes) return unread === 1 ? { kind: 'records', limit: 1, isDue: true } : { kind: 'newest', isDue: true }
  return { kind: 'records', limit: largestHeld > largeRecordBytes ? Math.min(maximumRecords, limit * 2) : maximumRecords, isDue: true }
}
