/** Upstreams that have fallen silent while requests of this entry are there. */

/** Silence after which an upstream gets no new requests, milliseconds: more than a first event usually takes, and half of the time after which a stream goes on elsewhere. */
const inactivityTimeoutMilliseconds = 650

/**
 * Notes when each upstream was heard last. Load pattern: an engine that freezes or hangs answers none of its streams;
 * without this its free places go on being filled until the first request there has waited in vain.
 */
export class UpstreamActivity {
  private readonly lastActivityAt = new Map<string, number>()

  /** Notes a request that is sent where `inFlight` are already; `now` in steady milliseconds. */
  recordSent (id: string, inFlight: number, now: number): void {
    if (inFlight === 0) this.lastActivityAt.set(id, now)
  }

  /** Notes any bytes of an answer. */
  recordReceived (id: string, now: number): void {
    this.lastActivityAt.set(id, now)
  }

  /** Whether an upstream with `inFlight` requests of this entry says nothing. */
  isUnresponsive (id: string, inFlight: number, now: number): boolean {
    return inFlight > 0 && now - (this.lastActivityAt.get(id) ?? now) > inactivityTimeoutMilliseconds
  }

  /** Forgets an upstream that is gone. */
  forget (id: string): void {
    this.lastActivityAt.delete(id)
  }
}
