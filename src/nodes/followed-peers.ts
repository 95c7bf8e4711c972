/** Streams from the nodes that this node follows; a silent one is opened anew over a new connection. */
import { ControlClient, type FollowEvent, type FollowStream } from '../transports/control.js'
import type { ListedInstance } from '../types/platform.js'
import { monotonicNow } from '../utils/clock.js'

/** An answer is likely to come this long after the last one: the question goes out a little earlier. */
const afterEventMilliseconds = 600
const betweenBeatsMilliseconds = 800
const leastBetweenBeatsMilliseconds = 400
const silenceMilliseconds = 3000
const reopenMilliseconds = 300
const divergedMilliseconds = 30_000

/** What the streams need of the node. */
export interface PeerHost {
  readonly instance: string
  readonly next: number
  /** Takes an event that answers a question sent at `askedAt`; false when the peer's state contradicts the node's own. */
  receive (event: FollowEvent, peer: ListedInstance, askedAt: number): boolean
}

/** One stream for each wanted peer. */
export class FollowedPeers {
  private readonly streams = new Map<string, PeerStream>()

  constructor (private readonly host: PeerHost) {}

  /** Opens and closes streams so that exactly `peers` are followed. */
  want (peers: readonly ListedInstance[]): void {
    const wanted = new Map(peers.map(peer => [`${peer.instance}@${peer.controlAddress}`, peer]))
    for (const [key, stream] of this.streams) {
      if (wanted.has(key)) continue
      stream.stop()
      this.streams.delete(key)
    }
    for (const [key, peer] of wanted) if (!this.streams.has(key)) this.streams.set(key, new PeerStream(peer, this.host))
  }

  /** Whether a node of the data centre was heard lately. */
  heard (dataCentre: string): boolean {
    return [...this.streams.values()].some(stream => stream.peer.dataCentre === dataCentre && stream.isHeard)
  }

  stop (): void {
    this.want([])
  }
}

class PeerStream {
  private client: ControlClient
  private stream: FollowStream | undefined
  private readonly asked = new Map<number, number>()
  private beat = 0
  private askedLastAt = 0
  private heardAt = 0
  private beatTimer: NodeJS.Timeout | undefined
  private silenceTimer: NodeJS.Timeout | undefined
  private reopenTimer: NodeJS.Timeout | undefined

  constructor (readonly peer: ListedInstance, private readonly host: PeerHost) {
    this.client = new ControlClient(peer.controlAddress)
    this.open()
  }

  get isHeard (): boolean {
    return monotonicNow() - this.heardAt < silenceMilliseconds
  }

  stop (): void {
    for (const timer of [this.beatTimer, this.silenceTimer, this.reopenTimer]) clearTimeout(timer)
    this.stream?.cancel()
    this.stream = undefined
    this.client.close()
  }

  private open (): void {
    this.asked.clear()
    const beat = this.nextBeat()
    this.stream = this.client.follow({ instance: this.host.instance, next: this.host.next, beat }, event => { this.receive(event) }, () => { this.reopen(reopenMilliseconds) })
    this.planBeat(betweenBeatsMilliseconds)
    this.watchSilence()
  }

  private receive (event: FollowEvent): void {
    const askedAt = this.asked.get(event.beat)
    if (askedAt === undefined) return
    for (const beat of this.asked.keys()) if (beat < event.beat) this.asked.delete(beat)
    this.heardAt = monotonicNow()
    this.watchSilence()
    this.planBeat(afterEventMilliseconds)
    if (!this.host.receive(event, this.peer, askedAt)) this.reopen(divergedMilliseconds)
  }

  /** Plans the next question; frequent events never hold it up. */
  private planBeat (milliseconds: number): void {
    const now = monotonicNow()
    const latest = this.askedLastAt + betweenBeatsMilliseconds
    const earliest = this.askedLastAt + leastBetweenBeatsMilliseconds
    const at = Math.max(earliest, Math.min(latest, now + milliseconds))
    clearTimeout(this.beatTimer)
    this.beatTimer = setTimeout(() => {
      this.stream?.sendHeartbeat(this.nextBeat())
      this.planBeat(betweenBeatsMilliseconds)
    }, at - now)
  }

  private nextBeat (): number {
    this.beat += 1
    this.askedLastAt = monotonicNow()
    this.asked.set(this.beat, this.askedLastAt)
    return this.beat
  }

  private watchSilence (): void {
    clearTimeout(this.silenceTimer)
    this.silenceTimer = setTimeout(() => { this.reopen(reopenMilliseconds) }, silenceMilliseconds)
  }

  private reopen (milliseconds: number): void {
    this.stop()
    this.reopenTimer = setTimeout(() => {
      this.client = new ControlClient(this.peer.controlAddress)
      this.open()
    }, milliseconds)
  }
}
