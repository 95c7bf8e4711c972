/** Messages between nodes that call upstreams directly. */
import type { CrashCount } from '../core/dispatch/crash-suspects.js'
import type { Member } from '../core/fleet/members.js'

/** Named weights and how long the sender has known of them. */
export interface GossipedWeights {
  readonly model: string
  readonly version: number
  readonly ageMilliseconds: number
}

/** From entry to entry. */
export interface Gossip {
  readonly kind: 'gossip'
  readonly sender: Member
  readonly others: readonly Member[]
  /** Offset up to which the sender has read the operators' and the instances' records. */
  readonly operatorsNext: number
  readonly instancesNext: number
  readonly weights: readonly GossipedWeights[]
  readonly crashes: readonly CrashCount[]
}

/** From entry to agent: asks for load reports until the next one is due. */
export interface Subscription {
  readonly kind: 'subscription'
  readonly dataCentre: string
  readonly operatorsNext: number
  /** Agents of the same service, data centre and IP; empty in most subscriptions, since they change seldom. */
  readonly agents: readonly (readonly [string, string])[]
}

/** From agent to entry. */
export interface LoadReport {
  readonly kind: 'load'
  /** Epoch milliseconds of the engine's start. */
  readonly startedAt: number
  readonly running: number
  readonly waiting: number
  readonly model: string
  /** Version that the engine serves whole; 0 for none. */
  readonly version: number
  /** Whether the engine takes no requests because its weights change. */
  readonly isSwapping: boolean
  /** Time until the engine is expected to take requests, milliseconds: 0 while it does, -1 when it is not known. */
  readonly readyInMilliseconds: number
}

/** From agent to agent: chunks that the sender holds. */
export interface Holdings {
  readonly kind: 'holdings'
  readonly dataCentre: string
  readonly model: string
  readonly version: number
  /** Bitmap in base64. */
  readonly held: string
  /** Bitmap in base64 of the chunks that some agent of the sender's data centre holds, as the sender has heard. */
  readonly heldInDataCentre: string
  /** Version that the sender's engine serves whole; 0 for none. */
  readonly served: number
  readonly isSwapping: boolean
}

export type NodeMessage = Gossip | Subscription | LoadReport | Holdings
