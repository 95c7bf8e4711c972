/** Era of the log as its answers tell it: it rises each time the log comes back from an older copy. */
import type { StreamName } from '../types/ports.js'
import { logFor } from '../utils/log.js'

const log = logFor('records')

/** Thrown for an answer from before the log came back that arrives after one from then. */
export class EarlierEraError extends Error {
  constructor (era: number, known: number) {
    super(`the answer is of era ${era} of the log, which is in era ${known}`)
  }
}

/** Highest era that one node has heard of from the log itself. */
export class LogEra {
  private known = 0
  /** When the known era was first heard of, milliseconds of the monotonic clock. */
  private since = -Infinity
  /** Whether the last answer told no era, or an earlier one although it was asked for later. */
  private isImplausible = false
  /** Streams that are to be read in full, since the offsets of an implausible era may be those of another one. */
  private readonly unread = new Set<StreamName>()

  /**
   * Era of an answer to a call that was sent at `sentAt`, received `now`, milliseconds of the monotonic clock. `told` is undefined
   * where the answer tells none. An implausible era counts as the known one. Throws `EarlierEraError`.
   */
  observe (told: number | undefined, sentAt: number, now: number): number {
    if (told !== undefined && told < this.known && sentAt < this.since) throw new EarlierEraError(told, this.known)
    if (told === undefined ? this.known > 0 : told < this.known) {
      this.reportImplausible(told)
      return this.known
    }
    this.isImplausible = false
    if (told !== undefined && told > this.known) {
      if (this.known > 0) log.warn('the log is in a new era: it came back from an older copy', { era: told, before: this.known })
      this.known = told
      this.since = now
    }
    return this.known
  }

  /** Whether a stream is to be read in full before anything that follows; asked once for each time. */
  takeFullRead (stream: StreamName): boolean {
    return this.unread.delete(stream)
  }

  private reportImplausible (told: number | undefined): void {
    if (this.isImplausible) return
    this.isImplausible = true
    for (const stream of ['operators', 'instances'] as const) this.unread.add(stream)
    log.warn('the log tells no era, or an earlier one than before: all records are read again', { told: told ?? 'none', known: this.known })
  }
}
