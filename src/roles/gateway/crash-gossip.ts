/** Tells other entries which requests and parts of prompts crash upstreams, and logs which of them are refused. */
import { CrashSuspects } from '../../core/dispatch/crash-suspects.js'
import { isPart } from '../../core/dispatch/request-traits.js'
import type { Member } from '../../core/fleet/members.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import type { GossipedEvidence } from '../../types/node-messages.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('requests')

/** Shortest time between two messages to all entries, milliseconds. */
const tellIntervalMilliseconds = 100
/** Suspicions, and proofs, in one message: with few ends each, about two packets. */
const maximumCount = 40
/** Messages to all entries in one interval. */
const maximumMessages = 4

/** Suspects of an entry, which logs what is refused from now on and what no longer. */
export function createCrashSuspects (): CrashSuspects {
  return new CrashSuspects(({ trait, upstreams }, isLifted) => {
    const kind = isPart(trait) ? 'part' : 'request'
    if (isLifted) log.warn('requests are no longer refused: the trait is healthy, or no request with it came for long', { trait, kind })
    else log.warn('requests are refused: upstreams ended as they began answers on this trait', { trait, kind, ends: upstreams.length, upstreams: upstreams.join(' ') })
  })
}

/** What the evidence is sent with. */
export interface CrashGossipContext {
  readonly suspects: CrashSuspects
  readonly datagrams: () => DatagramSocket
  /** Other entries that may be reached. */
  readonly reachable: () => readonly Member[]
}

/** Evidence goes to all entries as it arises, and what is known to some in each round of gossip and to entries that join. */
export class CrashGossip {
  private readonly timer: NodeJS.Timeout

  constructor (private readonly context: CrashGossipContext) {
    this.timer = setInterval(() => { this.tellAll() }, tellIntervalMilliseconds)
  }

  /** Sends the most important evidence to some entries. */
  sendTo (ips: readonly string[]): void {
    const evidence = this.context.suspects.summary(maximumCount, monotonicNow())
    if (evidence !== undefined && ips.length > 0) this.context.datagrams().sendToAll({ kind: 'crash-evidence', ...evidence }, ips)
  }

  receive (message: GossipedEvidence): void {
    this.context.suspects.merge(message, monotonicNow())
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private tellAll (): void {
    for (let sent = 0; sent < maximumMessages; sent += 1) {
      const evidence = this.context.suspects.takeUntold(maximumCount, monotonicNow())
      if (evidence === undefined) return
      this.context.datagrams().sendToAll({ kind: 'crash-evidence', ...evidence }, this.context.reachable().map(({ ip }) => ip))
    }
  }
}
