/** Free slots of an upstream that one entry may use, when other entries send requests there as well. */

/** The last report of an upstream's load, and what this entry has done since. */
export interface ReportedLoad {
  /** Requests of all entries that ran or were queued there. */
  readonly total: number
  /** This entry's requests there at that time. */
  readonly local: number
  /** Random number in [0, 1), one for each report, that rounds a fraction of a slot up or down. */
  readonly roundingOffset: number
  /** Requests that this entry has sent there since. */
  readonly sent: number
  /** Requests of this entry that have ended there since. */
  readonly ended: number
}

/**
 * Requests that this entry may send now to an upstream that handles `limit` requests of all `entries`
 * together; 0 or less for none. Each entry gets a share of the reported free slots in proportion to its requests there, so that together they send no more
 * than fits without coordination. A slot that one of its requests has freed since belongs to this entry. Load pattern:
 * arrivals above capacity, or a newly started upstream: entries that all used the same free slots would queue the
 * arrivals of a whole report interval there.
 */
export function freeSlotsByReport (limit: number, reported: ReportedLoad, entries: number): number {
  const free = limit - reported.total
  const share = (reported.local + 1 / Math.max(1, entries)) / (reported.total + 1)
  const granted = Math.floor(Math.max(0, free) * share + reported.roundingOffset)
  const freed = Math.max(0, reported.ended + Math.min(0, free))
  return granted + freed - reported.sent
}

/** The same without a recent report: an equal share of the limit for each entry, at least one request, whose answer then reports the load. */
export function freeSlotsWithoutReport (limit: number, inFlight: number, entries: number): number {
  return Math.max(1, Math.floor(limit / Math.max(1, entries))) - inFlight
}
