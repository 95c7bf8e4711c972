/** Detects upstreams that send nothing while requests of this entry are in flight there. */

/** Time without bytes after which an upstream gets no new requests, milliseconds: longer than a first event usually takes, and half of the stream inactivity timeout. */
const inactivityTimeoutMilliseconds = 650
/** Time after the end of the last call to an upstream that sent nothing, for which it counts as unresponsive without a sign of life, milliseconds: its record lapses in about that time if its machine has stopped. */
const silenceMemoryMilliseconds = 4000

/**
 * When each upstream last sent bytes; times in milliseconds of the monotonic clock. Load pattern: an engine that hangs
 * answers none of its streams. Without this check, requests would be sent to its free slots until the first one there
 * has timed out.
 */
export class UpstreamActivity {
  private readonly lastActivityAt = new Map<string, number>()
  /** Until when upstreams count as unresponsive whose last calls ended in silence. */
  private readonly silentUntil = new Map<string, number>()

  /** Records a request that is sent where `inFlight` are already; the first one starts the timeout. */
  recordSent (id: string, inFlight: number, now: number): void {
    if (inFlight === 0) this.lastActivityAt.set(id, now)
  }

  /** Records received bytes of an answer. */
  recordReceived (id: string, now: number): void {
    this.lastActivityAt.set(id, now)
    this.silentUntil.delete(id)
  }

  /** Records the end of a call to an upstream with `inFlight` of them: that callers have left a silent upstream is no sign that it goes on. */
  recordEnded (id: string, inFlight: number, now: number): void {
    if (this.isUnresponsive(id, inFlight, now)) this.silentUntil.set(id, now + silenceMemoryMilliseconds)
  }

  /** Records a report from the upstream's machine. */
  recordReport (id: string): void {
    this.silentUntil.delete(id)
  }

  /** Whether an upstream with `inFlight` requests of this entry has sent nothing within the timeout, or had when the last of them ended. */
  isUnresponsive (id: string, inFlight: number, now: number): boolean {
    if (now < (this.silentUntil.get(id) ?? 0)) return true
    return inFlight > 0 && now - (this.lastActivityAt.get(id) ?? now) > inactivityTimeoutMilliseconds
  }

  /** Deletes the state of an upstream that was removed. */
  forget (id: string): void {
    this.lastActivityAt.delete(id)
    this.silentUntil.delete(id)
  }
}
