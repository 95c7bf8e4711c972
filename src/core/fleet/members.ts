/** Membership of entries by gossip: an entry is alive as long as its heartbeat counter rises. */
import type { FleetView } from '../dispatch/shared-rate.js'
import { deadAfterMilliseconds } from './gossip-plan.js'

/** State of an entry, as it announces it. */
export interface Member {
  readonly instance: string
  readonly ip: string
  /** Address that callers connect to. */
  readonly callers: string
  readonly dataCentre: string
  readonly region: string
  /** Distinguishes a restarted process from the one before it; higher, unless its clock is behind. */
  readonly incarnation: number
  /** Number of heartbeats since the start. */
  readonly beat: number
  /** Whether it takes callers; false before it has a configuration and while it shuts down. */
  readonly isReady: boolean
  /** Shortest round trip to the log that it measured, milliseconds; -1 before the first. */
  readonly logDelayMilliseconds: number
}

interface Peer {
  readonly member: Member
  /** Time at which its heartbeat last rose, milliseconds of the monotonic clock. */
  readonly heartbeatAt: number
  /** Earlier incarnations, which delayed gossip may still describe. */
  readonly replacedIncarnations: ReadonlySet<number>
}

/** Time for which a dead member is remembered, milliseconds, so that delayed gossip does not revive it. */
const deadRetentionMilliseconds = 30_000

/** Time after the start, or after the first word of another member, in which a member may not know the others, milliseconds. */
const settlingMilliseconds = { alone: 5000, known: 1500 } as const

/** Members as one entry sees them; times in milliseconds of the monotonic clock. */
export class Membership {
  private readonly seen = new Map<string, Peer>()

  /** When the first other member was heard of; undefined before. */
  private firstSeenAt: number | undefined

  /** `startedAt`: when this entry started, milliseconds of the monotonic clock. */
  constructor (private local: Member, private readonly startedAt = 0) {}

  /** State of this entry. */
  get self (): Member {
    return this.local
  }

  /** Raises this entry's heartbeat counter; returns its new state. */
  beat (isReady: boolean): Member {
    this.local = { ...this.local, beat: this.local.beat + 1, isReady }
    return this.local
  }

  /** Records a round trip of this entry to the log, milliseconds. */
  recordLogDelay (milliseconds: number): void {
    const known = this.local.logDelayMilliseconds
    this.local = { ...this.local, logDelayMilliseconds: known < 0 ? milliseconds : Math.min(known, milliseconds) }
  }

  /** Merges a state that was received at `now`; true when its member was unknown or counted as dead before. */
  observe (member: Member, now: number): boolean {
    if (member.instance === this.local.instance) return false
    const known = this.seen.get(member.instance)
    if (known?.replacedIncarnations.has(member.incarnation) === true) return false
    const isDead = known !== undefined && now - known.heartbeatAt > this.deadMilliseconds
    // A process that restarts while its clock is behind has a lower incarnation than before.
    const isRestarted = isDead && member.incarnation !== known.member.incarnation
    if (known !== undefined && !isRestarted && !isNewer(member, known.member)) return false
    const replaced = known === undefined || known.member.incarnation === member.incarnation ? known?.replacedIncarnations : new Set([...known.replacedIncarnations, known.member.incarnation])
    this.firstSeenAt ??= now
    this.seen.set(member.instance, { member, heartbeatAt: now, replacedIncarnations: replaced ?? new Set() })
    return known === undefined || isDead
  }

  /** Members that are alive at `now`, this one first. */
  living (now: number): readonly Member[] {
    const { deadMilliseconds } = this
    const others = [...this.seen.values()].filter(({ heartbeatAt }) => now - heartbeatAt <= deadMilliseconds)
    return [this.local, ...others.map(({ member }) => member)]
  }

  /** The entries as this one sees them at `now`, for rates that all of them keep. */
  fleet (now: number): FleetView {
    const living = this.living(now)
    const ready = living.filter(({ isReady }) => isReady)
    const isSettled = now - this.startedAt > settlingMilliseconds.alone || (this.firstSeenAt !== undefined && now - this.firstSeenAt > settlingMilliseconds.known)
    return { self: this.local.instance, ready: (ready.length > 0 ? ready : living).map(({ instance }) => instance), silent: this.silent(now), isSettled }
  }

  /** Instances among which sums over all entries are divided: the living ones, this one included, and silent ones, which may use their share behind a cut. */
  knownEntries (now: number): readonly string[] {
    return [...this.living(now).map(({ instance }) => instance), ...this.silent(now)]
  }

  /** Members that count as dead and had not announced a stop, until they are pruned. */
  private silent (now: number): readonly string[] {
    const { deadMilliseconds } = this
    return [...this.seen.values()].flatMap(({ member, heartbeatAt }) => now - heartbeatAt > deadMilliseconds && member.isReady ? [member.instance] : [])
  }

  /** IP of a member; undefined for an unknown one. */
  ipOf (instance: string): string | undefined {
    return this.seen.get(instance)?.member.ip
  }

  private get deadMilliseconds (): number {
    return deadAfterMilliseconds(this.seen.size + 1)
  }

  /** Members to send gossip to: all others, the dead ones until they are pruned, since a network partition may heal. */
  reachable (): readonly Member[] {
    return [...this.seen.values()].map(({ member }) => member)
  }

  /** Deletes members that have been dead for long; returns their number. */
  prune (now: number): number {
    const dead = [...this.seen].filter(([, { heartbeatAt }]) => now - heartbeatAt > deadRetentionMilliseconds)
    for (const [instance] of dead) this.seen.delete(instance)
    return dead.length
  }
}

function isNewer (member: Member, known: Member): boolean {
  if (member.incarnation !== known.incarnation) return member.incarnation > known.incarnation
  return member.beat > known.beat
}
