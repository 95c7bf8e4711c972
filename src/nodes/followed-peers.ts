/** Streams from the nodes that this node follows; an unresponsive stream is reopened over a new connection. */
import { ControlClient, type FollowEvent, type FollowStream } from '../transports/control.js'
import type { ListedInstance } from '../types/platform.js'
import { monotonicNow } from '../utils/clock.js'

/** Delay of a heartbeat after an event, so that it is sent shortly before the peer's next event, which usually follows a little later. */
const heartbeatAfterEventMilliseconds = 600
const heartbeatIntervalMilliseconds = 800
const minimumHeartbeatIntervalMilliseconds = 400
/** Time without an event after which a stream is reopened and the peer no longer counts as responsive. */
const inactivityTimeoutMilliseconds = 3000
const reopenDelayMilliseconds = 300
/** Delay before reopening the stream to a peer whose state contradicts this node's. */
const divergedReopenDelayMilliseconds = 30_000

/** The node on whose behalf the streams are opened. */
export interface PeerHost {
  readonly instance: string
  /** Offset of the next record to fold. */
  readonly next: number
  /** Applies an event that answers a heartbeat sent at `sentAt`, milliseconds of the monotonic clock; false when the peer's state contradicts the node's. */
  receive (event: FollowEvent, peer: ListedInstance, sentAt: number): boolean
}

/** One stream for each followed peer. */
export class FollowedPeers {
  private readonly streams = new Map<string, PeerStream>()

  constructor (private readonly host: PeerHost) {}

  /** Opens and closes streams so that exactly `peers` are followed. */
  setPeers (peers: readonly ListedInstance[]): void {
    const selected = new Map(peers.map(peer => [`${peer.instance}@${peer.controlAddress}`, peer]))
    for (const [key, stream] of this.streams) {
      if (selected.has(key)) continue
      stream.stop()
      this.streams.delete(key)
    }
    for (const [key, peer] of selected) if (!this.streams.has(key)) this.streams.set(key, new PeerStream(peer, this.host))
  }

  /** Whether a followed node of the data centre sent an event recently. */
  hasResponsivePeer (dataCentre: string): boolean {
    return [...this.streams.values()].some(stream => stream.peer.dataCentre === dataCentre && stream.isResponsive)
  }

  stop (): void {
    this.setPeers([])
  }
}

class PeerStream {
  private client: ControlClient
  private stream: FollowStream | undefined
  /** Send time of each unanswered heartbeat by its number, milliseconds of the monotonic clock. */
  private readonly sentHeartbeats = new Map<number, number>()
  private beat = 0
  private heartbeatSentAt = 0
  private receivedAt = 0
  private heartbeatTimer: NodeJS.Timeout | undefined
  private inactivityTimer: NodeJS.Timeout | undefined
  private reopenTimer: NodeJS.Timeout | undefined

  constructor (readonly peer: ListedInstance, private readonly host: PeerHost) {
    this.client = new ControlClient(peer.controlAddress)
    this.open()
  }

  get isResponsive (): boolean {
    return monotonicNow() - this.receivedAt < inactivityTimeoutMilliseconds
  }

  stop (): void {
    for (const timer of [this.heartbeatTimer, this.inactivityTimer, this.reopenTimer]) clearTimeout(timer)
    this.stream?.cancel()
    this.stream = undefined
    this.client.close()
  }

  private open (): void {
    this.sentHeartbeats.clear()
    const beat = this.nextHeartbeat()
    this.stream = this.client.follow({ instance: this.host.instance, next: this.host.next, beat }, event => { this.receive(event) }, () => { this.reopen(reopenDelayMilliseconds) })
    this.scheduleHeartbeat(heartbeatIntervalMilliseconds)
    this.restartInactivityTimer()
  }

  private receive (event: FollowEvent): void {
    const sentAt = this.sentHeartbeats.get(event.beat)
    if (sentAt === undefined) return
    for (const beat of this.sentHeartbeats.keys()) if (beat < event.beat) this.sentHeartbeats.delete(beat)
    this.receivedAt = monotonicNow()
    this.restartInactivityTimer()
    this.scheduleHeartbeat(heartbeatAfterEventMilliseconds)
    if (!this.host.receive(event, this.peer, sentAt)) this.reopen(divergedReopenDelayMilliseconds)
  }

  /** Schedules the next heartbeat between the minimum and the usual interval after the last; frequent events never delay it further. */
  private scheduleHeartbeat (milliseconds: number): void {
    const now = monotonicNow()
    const latest = this.heartbeatSentAt + heartbeatIntervalMilliseconds
    const earliest = this.heartbeatSentAt + minimumHeartbeatIntervalMilliseconds
    const at = Math.max(earliest, Math.min(latest, now + milliseconds))
    clearTimeout(this.heartbeatTimer)
    this.heartbeatTimer = setTimeout(() => {
      this.stream?.sendHeartbeat(this.nextHeartbeat())
      this.scheduleHeartbeat(heartbeatIntervalMilliseconds)
    }, at - now)
  }

  private nextHeartbeat (): number {
    this.beat += 1
    this.heartbeatSentAt = monotonicNow()
    this.sentHeartbeats.set(this.beat, this.heartbeatSentAt)
    return this.beat
  }

  private restartInactivityTimer (): void {
    clearTimeout(this.inactivityTimer)
    this.inactivityTimer = setTimeout(() => { this.reopen(reopenDelayMilliseconds) }, inactivityTimeoutMilliseconds)
  }

  private reopen (milliseconds: number): void {
    this.stop()
    this.reopenTimer = setTimeout(() => {
      this.client = new ControlClient(this.peer.controlAddress)
      this.open()
    }, milliseconds)
  }
}
