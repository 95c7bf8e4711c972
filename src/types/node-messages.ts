/** Messages between the nodes of a deployment whose upstreams are called directly. */
import type { CrashEvidence } from '../core/dispatch/crash-suspects.js'
import type { LogPosition } from '../core/log-position.js'
import type { EraReport } from '../core/stream-eras.js'
import type { GossipedLimit } from '../core/dispatch/named-limits.js'
import type { Member } from '../core/fleet/members.js'
import type { RolloutFacts, VouchedLoad } from './fleet.js'

/** Named weights with the time since some node learned of them, milliseconds; undefined where the sender does not know it. */
export interface GossipedWeights {
  readonly model: string
  readonly version: number
  readonly ageMilliseconds: number | undefined
}

/** Incarnation of an upstream that said that it leaves. */
export interface GossipedLeaving {
  readonly upstreamId: string
  /** Epoch milliseconds. */
  readonly startedAt: number
}

/** Sent by an entry to another entry. */
export interface Gossip {
  readonly kind: 'gossip'
  readonly sender: Member
  /** Some of the other members that the sender knows. */
  readonly others: readonly Member[]
  /** Positions after the last operators' and instances' records that the sender has read. */
  readonly operatorsNext: LogPosition
  readonly instancesNext: LogPosition
  /** What the sender knows of the eras of these positions; undefined while it knows of one only, and from earlier versions. */
  readonly operatorsEras?: EraReport
  readonly instancesEras?: EraReport
  readonly weights: readonly GossipedWeights[]
  /** Some of the limits that upstreams have named, and of those lifted lately. */
  readonly limits: readonly GossipedLimit[]
  /** Some of the upstreams that leave. */
  readonly leaving: readonly GossipedLeaving[]
}

/** Sent by an entry to another one: which traits of requests are suspected of crashing upstreams, and which were proved healthy. */
export interface GossipedEvidence extends CrashEvidence {
  readonly kind: 'crash-evidence'
}

/** Sent by an entry to the one that grants the permits of an upstream: asks for one, and says what the sender knows of the limit. */
export interface PermitRequest {
  readonly kind: 'permit-request'
  /** Number of the request at its sender. */
  readonly number: number
  readonly limit: GossipedLimit
}

/** Answer to a `PermitRequest`, with what the grantor knows of the limit. */
export interface PermitAnswer {
  readonly kind: 'permit-answer'
  /** Number of the request that it answers. */
  readonly number: number
  readonly limit: GossipedLimit
  /** -1 for a granted permit; else the time until it makes sense to ask again, milliseconds. */
  readonly retryInMilliseconds: number
}

/** Sent by an entry to an agent: asks for a slot of its engine. */
export interface SlotRequest {
  readonly kind: 'slot-request'
  /** Number of the request at its sender. */
  readonly number: number
  /** Requests that may be at the engine, with the one that the slot is for. */
  readonly limit: number
  /** What orders it among others; undefined for a service that is not ranked, and from earlier versions. */
  readonly order?: SlotOrder
  /** Slots that may be granted in one second, as the engine is cold for the sender; undefined if it is not, for a service that is not adaptive, and from earlier versions. */
  readonly coldLimit?: number
}

/** What orders a request among others that compete for the same slots. */
export interface SlotOrder {
  /** 0 for the most urgent. */
  readonly rank: number
  /** Name of the organisation; empty for none. */
  readonly organisation: string
  /** Share of the organisation, above 0. */
  readonly share: number
  /** Tokens of prompt and answer. */
  readonly work: number
  /** Whether it was refused before. */
  readonly isRetry: boolean
  /** Time until its deadline, milliseconds. */
  readonly remainingMilliseconds: number
}

/** Answer to a `SlotRequest`. */
export interface SlotReply {
  readonly kind: 'slot-reply'
  /** Number of the request that it answers. */
  readonly number: number
  /** Requests at the engine; with a grant, the one that it is for included. */
  readonly load: number
  readonly isGranted: boolean
  /** Last pace that the engine stated, 1 for as long as usual, and its age, milliseconds; undefined while not known, and from earlier versions. */
  readonly pace?: { readonly value: number, readonly ageMilliseconds: number }
}

/** Sent by an entry to an agent: its engine has stated a pace other than the one last known to the sender. */
export interface PaceReport {
  readonly kind: 'pace'
  /** Start of the engine that stated it, epoch milliseconds. */
  readonly startedAt: number
  /** How long work takes there, 1 for as long as usual. */
  readonly pace: number
}

/** Sent by an entry to an agent: a granted slot is not used. */
export interface SlotRelease {
  readonly kind: 'slot-release'
  /** Number of the request for it. */
  readonly number: number
}

/** Facts for the agents of one service with the time since the sender put their configuration in force, milliseconds. */
export interface ReportedFacts extends RolloutFacts {
  readonly ageMilliseconds: number
}

/** Sent by an entry to an agent, periodically and after changes, to receive its load reports and to tell it what to roll out. */
export interface Subscription {
  readonly kind: 'subscription'
  readonly dataCentre: string
  /** Service of the engine beside the agent, as its record says. */
  readonly service: string
  readonly weights: readonly GossipedWeights[]
  /** Data centre and IP of each agent of that service; empty in most subscriptions, since the agents rarely change. */
  readonly agents: readonly (readonly [string, string])[]
  /** Facts of that service; undefined in most subscriptions, and before the sender's first configuration. */
  readonly rollout: ReportedFacts | undefined
  /** The last load for which an agent of that engine vouched to the sender; undefined for none. */
  readonly vouched: VouchedLoad | undefined
}

/** Sent by an agent without a subscription, to entries that its settings name; they subscribe at once. */
export interface Introduction {
  readonly kind: 'introduction'
  readonly service: string
}

/** Sent by an agent to the entries that subscribed. */
export interface LoadReport {
  readonly kind: 'load'
  /** Epoch milliseconds of the engine's start. */
  readonly startedAt: number
  /** Number of orders that the engine has accepted since then; undefined from earlier versions. */
  readonly orders: number | undefined
  readonly running: number
  readonly waiting: number
  readonly model: string
  /** Version that the engine has loaded completely; 0 for none. */
  readonly version: number
  /** Whether the engine accepts no requests because its weights are being swapped. */
  readonly isSwapping: boolean
  /** Time until the engine is expected to accept requests, milliseconds: 0 while it does, -1 if not known. */
  readonly readyInMilliseconds: number
}

/** Sent by an agent to another agent: the chunks that the sender holds. */
export interface Holdings {
  readonly kind: 'holdings'
  readonly dataCentre: string
  readonly model: string
  readonly version: number
  /** Chunks that the sender holds, as a bitmap in base64. */
  readonly held: string
  /** Chunks that at least one agent of the sender's data centre holds, as far as the sender knows, as a bitmap in base64. */
  readonly heldInDataCentre: string
  /** Version that the sender's engine has loaded completely; 0 for none. */
  readonly served: number
  /** Whether the sender's engine accepts no requests because its weights are being swapped. */
  readonly isSwapping: boolean
}

/** A message between nodes, distinguished by `kind`. */
export type NodeMessage = Gossip | GossipedEvidence | PermitRequest | PermitAnswer | SlotRequest | SlotReply | SlotRelease | PaceReport | Subscription | Introduction | LoadReport | Holdings
