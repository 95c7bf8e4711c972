/** Calls that an entry lost lately, to tell the end of an upstream from the loss of its own link or of a data centre. */

/** Upstreams lost within this time, milliseconds, without an event from any other count as lost for one reason. */
const windowMilliseconds = 1000
/** Upstreams that may be lost so before the reason is taken to be another one than their requests. */
const maximumLost = 5

/** Upstream incarnations to which calls were lost since the last event of any upstream. */
export class CallLosses {
  private lost: ReadonlyMap<string, number> = new Map()

  /** Records the first event of an answer. */
  recordEvent (): void {
    if (this.lost.size > 0) this.lost = new Map()
  }

  /** Records a lost call at `now`, milliseconds of the monotonic clock; whether so many were lost together that it says nothing about its request. */
  recordLost (upstream: string, now: number): boolean {
    this.lost = new Map([...[...this.lost].filter(([, at]) => at + windowMilliseconds > now), [upstream, now]])
    return this.lost.size > maximumLost
  }
}
