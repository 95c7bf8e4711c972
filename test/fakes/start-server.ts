/** Simulated upstreams of the replay of starts, each with the real `SlotGranter` of an agent; times in milliseconds. */
import { Metrics } from '../../src/plugins/metrics.js'
import { SlotGranter } from '../../src/roles/weights/slot-granter.js'
import type { DatagramSocket } from '../../src/transports/datagrams.js'
import type { Upstream } from '../../src/types/fleet.js'
import type { NodeMessage } from '../../src/types/node-messages.js'

/** Work of a request, and slots of a server. */
export const work = { slots: 12, promptMilliseconds: 12, answerMilliseconds: 240 } as const

/** The replay that a server belongs to. */
export interface ServerHost {
  readonly now: number
  at (time: number, act: () => void): void
  /** When work at an upstream goes on that would do so at `time`. */
  resumeAt (upstream: Upstream, time: number): number
  /** Sends an agent's message to the entry at `ip`. */
  reply (message: NodeMessage, ip: string): void
}

/** A request at a server. */
export interface Call { readonly sentAt: number, readonly started: () => void, readonly ended: () => void }

/** A server that reads one prompt at a time and answers as many requests at once as it has slots. */
export class Server {
  running = 0
  readonly waiting: Call[] = []
  readonly arrivals: number[] = []
  readonly starts: { readonly at: number, readonly waited: number }[] = []
  private readerFreeAt = 0
  readonly granter: SlotGranter

  constructor (private readonly replay: ServerHost, readonly upstream: Upstream, private readonly slowness: number) {
    this.granter = new SlotGranter({ send: (message: NodeMessage, ip: string) => { replay.reply(message, ip) } } as unknown as DatagramSocket, new Metrics())
  }

  arrive (call: Call): void {
    this.arrivals.push(this.replay.now)
    this.waiting.push(call)
    this.admit()
  }

  private admit (): void {
    while (this.running < work.slots && this.waiting.length > 0) {
      const call = this.waiting.shift() as Call
      this.running += 1
      this.readerFreeAt = this.replay.resumeAt(this.upstream, Math.max(this.replay.now, this.readerFreeAt)) + work.promptMilliseconds * this.slowness
      this.replay.at(this.readerFreeAt, () => {
        this.starts.push({ at: this.replay.now, waited: this.replay.now - call.sentAt })
        call.started()
      })
      this.replay.at(this.readerFreeAt + work.answerMilliseconds * this.slowness, () => {
        this.running -= 1
        call.ended()
        this.admit()
      })
    }
  }
}
