/** Membership of entries by gossip: who lives is who still raises its own heartbeat counter. */
import { deadAfterMilliseconds } from './gossip-plan.js'

/** What an entry says of itself. */
export interface Member {
  readonly instance: string
  readonly ip: string
  /** Address that callers connect to. */
  readonly callers: string
  readonly dataCentre: string
  readonly region: string
  /** Tells a restarted process from the one before; the later has the higher number. */
  readonly incarnation: number
  /** Heartbeats so far. */
  readonly beat: number
  readonly isReady: boolean
}

interface Peer {
  readonly member: Member
  /** Steady milliseconds at which its heartbeat last rose. */
  readonly heartbeatAt: number
  /** Incarnations before this one; old gossip may still tell of them. */
  readonly replacedIncarnations: ReadonlySet<number>
}

/** Time for which a dead member is remembered, milliseconds, so that old gossip does not bring it back. */
const deadRetentionMilliseconds = 30_000

/** Members as one entry sees them. */
export class Membership {
  private readonly seen = new Map<string, Peer>()

  constructor (private local: Member) {}

  get self (): Member {
    return this.local
  }

  /** Raises the own heartbeat. */
  beat (isReady: boolean): Member {
    this.local = { ...this.local, beat: this.local.beat + 1, isReady }
    return this.local
  }

  /** Takes what another entry said, at `now` in steady milliseconds; true for a member not known before. */
  observe (member: Member, now: number): boolean {
    if (member.instance === this.local.instance) return false
    const known = this.seen.get(member.instance)
    if (known?.replacedIncarnations.has(member.incarnation) === true) return false
    const isSilent = known !== undefined && now - known.heartbeatAt > this.deadMilliseconds
    // A process that restarts while its clock is behind has a lower incarnation than before.
    const isRestarted = isSilent && member.incarnation !== known.member.incarnation
    if (known !== undefined && !isRestarted && !isNewer(member, known.member)) return false
    const replaced = known === undefined || known.member.incarnation === member.incarnation ? known?.replacedIncarnations : new Set([...known.replacedIncarnations, known.member.incarnation])
    this.seen.set(member.instance, { member, heartbeatAt: now, replacedIncarnations: replaced ?? new Set() })
    return known === undefined || isSilent
  }

  /** Members that live at `now`, this one among them. */
  living (now: number): readonly Member[] {
    const others = [...this.seen.values()].filter(({ heartbeatAt: risenAt }) => now - risenAt <= this.deadMilliseconds)
    return [this.local, ...others.map(({ member }) => member)]
  }

  private get deadMilliseconds (): number {
    return deadAfterMilliseconds(this.seen.size + 1)
  }

  /** Members to gossip with: living ones, and dead ones for a while, since a cut may heal. */
  reachable (): readonly Member[] {
    return [...this.seen.values()].map(({ member }) => member)
  }

  /** Forgets members that died long ago; returns their number. */
  prune (now: number): number {
    const dead = [...this.seen].filter(([, { heartbeatAt: risenAt }]) => now - risenAt > deadRetentionMilliseconds)
    for (const [instance] of dead) this.seen.delete(instance)
    return dead.length
  }
}

function isNewer (member: Member, known: Member): boolean {
  if (member.incarnation !== known.incarnation) return member.incarnation > known.incarnation
  return member.beat > known.beat
}
