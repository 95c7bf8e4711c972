/** How many requests an entry may send to an upstream that other entries send to as well. */

/** The last report of an upstream's load, and what this entry did since. */
export interface ReportedLoad {
  /** Requests that ran or waited there, of all entries. */
  readonly total: number
  /** This entry's requests there at that time. */
  readonly local: number
  /** Drawn by chance for the report, in [0, 1): rounds a part of a place up or down. */
  readonly roundingOffset: number
  /** This entry's requests sent there since. */
  readonly sent: number
  /** This entry's requests that ended there since. */
  readonly ended: number
}

/**
 * Requests that may be sent now, when the upstream bears `limit` of all `entries`. The free places of a report are
 * divided by what each entry has there, so that together they send no more than fits, without asking each other; a
 * place that an own request has left since is this entry's. Load pattern: arrivals above capacity, or an upstream that
 * has just come; entries that all took the same free places would queue a report's time of arrivals there.
 */
export function freeSlotsByReport (limit: number, reported: ReportedLoad, entries: number): number {
  const free = limit - reported.total
  const part = (reported.local + 1 / Math.max(1, entries)) / (reported.total + 1)
  const granted = Math.floor(Math.max(0, free) * part + reported.roundingOffset)
  const freed = Math.max(0, reported.ended + Math.min(0, free))
  return granted + freed - reported.sent
}

/** The same without a fresh report: the other entries are taken to send as much as this one, and one request may find out. */
export function freeSlotsWithoutReport (limit: number, inFlight: number, entries: number): number {
  return Math.max(1, Math.floor(limit / Math.max(1, entries))) - inFlight
}
