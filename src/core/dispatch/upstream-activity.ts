/** Detects upstreams that send nothing while requests of this entry are in flight there. */

/** Time without bytes after which an upstream gets no new requests, milliseconds: longer than a first event usually takes, and half of the stream inactivity timeout. */
const inactivityTimeoutMilliseconds = 650

/**
 * When each upstream last sent bytes; times in milliseconds of the monotonic clock. Load pattern: an engine that hangs
 * answers none of its streams. Without this check, requests would be sent to its free slots until the first one there
 * has timed out.
 */
export class UpstreamActivity {
  private readonly lastActivityAt = new Map<string, number>()

  /** Records a request that is sent where `inFlight` are already; the first one starts the timeout. */
  recordSent (id: string, inFlight: number, now: number): void {
    if (inFlight === 0) this.lastActivityAt.set(id, now)
  }

  /** Records received bytes of an answer. */
  recordReceived (id: string, now: number): void {
    this.lastActivityAt.set(id, now)
  }

  /** Whether an upstream with `inFlight` requests of this entry has sent nothing within the timeout. */
  isUnresponsive (id: string, inFlight: number, now: number): boolean {
    return inFlight > 0 && now - (this.lastActivityAt.get(id) ?? now) > inactivityTimeoutMilliseconds
  }

  /** Deletes the state of an upstream that was removed. */
  forget (id: string): void {
    this.lastActivityAt.delete(id)
  }
}
