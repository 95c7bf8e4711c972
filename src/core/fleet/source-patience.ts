/**
 * How long a read of records waits for one source before it asks the next one as well. A source that lost its power does not
 * refuse; a link that is full delays all answers, and each further read fills it more.
 */

/** Time until a poll is answered that finds nothing new, milliseconds. */
const usualAnswerMilliseconds = 500
/** Time beyond its slowest recent answer after which a source is late, milliseconds: delays of a busy entry are shorter. */
const marginMilliseconds = 300
/** Time for which a further source is asked alone once another one was late, beyond the recent delays, milliseconds. */
const furtherMilliseconds = 200
/** Time that a copy of all records takes on a link that carries little else, milliseconds. */
const copyMilliseconds = 600
/** Longest time for which a source is asked alone, milliseconds. */
const maximumMilliseconds = 1700
/** Share of the slowest answer that still counts after the next one: a link that was full is remembered for some polls. */
const retainedShare = 0.8

/** Recent answers of the sources outside the data centre of one entry. */
export class SourcePatience {
  private slowestMilliseconds: number | undefined

  /** Records how long a poll took that was answered. */
  recordAnswer (milliseconds: number): void {
    this.slowestMilliseconds = Math.max(milliseconds, (this.slowestMilliseconds ?? 0) * retainedShare, usualAnswerMilliseconds)
  }

  /** Time for which a poll of a source is waited for alone, milliseconds; `hasLate`: the source was late before, or another one in this read. */
  pollMilliseconds (hasLate: boolean): number {
    return this.limit(hasLate ? furtherMilliseconds : usualAnswerMilliseconds + marginMilliseconds)
  }

  /** The same for a read of all records; the longest time while it is not known how long answers take. */
  copyMilliseconds (hasLate: boolean): number {
    if (this.slowestMilliseconds === undefined) return maximumMilliseconds
    return this.limit(hasLate ? copyMilliseconds : copyMilliseconds + marginMilliseconds)
  }

  /** A time on an idle link, with the delay of recent answers. */
  private limit (idleMilliseconds: number): number {
    const delayMilliseconds = (this.slowestMilliseconds ?? usualAnswerMilliseconds) - usualAnswerMilliseconds
    return Math.min(maximumMilliseconds, delayMilliseconds + idleMilliseconds)
  }
}
