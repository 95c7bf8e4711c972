/** Whether the origin of weights answers, from what all agents have seen of it. */

/** Time after which a failure no longer counts, milliseconds: an agent that still needs the origin has asked it again by then. */
const failureLifeMilliseconds = 3000

/** Failures and answers of the origin that one agent knows of; times are milliseconds of the monotonic clock. */
export class OriginOutage {
  private failedAt = -Infinity
  private answeredAt = -Infinity

  /** A request of this agent, or of one that told of it, failed at `at`. */
  recordFailure (at: number): void {
    this.failedAt = Math.max(this.failedAt, at)
  }

  /** The origin has answered this agent, or has sent a chunk to another one. */
  recordAnswer (at: number): void {
    this.answeredAt = Math.max(this.answeredAt, at)
  }

  isAway (now: number): boolean {
    return this.failedAt > this.answeredAt && now - this.failedAt < failureLifeMilliseconds
  }

  /** Time since the last failure, for other agents, milliseconds; undefined if the origin is not known to be away. */
  failureAge (now: number): number | undefined {
    return this.isAway(now) ? Math.max(0, Math.round(now - this.failedAt)) : undefined
  }
}
