/** The starts and recoveries that one entry knows of, for the services that ask for an adaptive pace. */
import { allowanceAt, beginPace, isPaceOver, ownPart, paceAfterAnswer, paceAfterFailure, paceAfterRefusal, updateUsual, type StartCause, type StartPace } from '../../core/dispatch/start-pace.js'
import { RankingCache } from '../../core/dispatch/ranking-cache.js'
import { logFor } from '../../utils/log.js'
import { monotonicNow } from '../../utils/clock.js'
import type { UpstreamView } from './upstream-view.js'

const log = logFor('instances')

/** What the paces need to know of their entry. */
export interface StartPacesContext {
  readonly instance: string
  /** Instances among which an allowance is divided. */
  knownEntries (): readonly string[]
  isAdaptive (service: string): boolean
}

/** Paces of all upstreams that start or recover; times are milliseconds of the monotonic clock. */
export class StartPaces {
  private readonly paces = new Map<string, StartPace>()
  /** Usual time to the first event of each service, milliseconds. */
  private readonly usual = new Map<string, number>()
  private readonly ranks = new RankingCache()

  constructor (private readonly context: StartPacesContext) {}

  /** Begins a start or recovery at `beganAt`, which may be later; a recovery while another one is in progress begins anew. */
  begin ({ upstream }: Pick<UpstreamView, 'upstream'>, cause: StartCause, beganAt = monotonicNow()): void {
    if (!this.context.isAdaptive(upstream.service)) return
    const known = this.paces.get(upstream.id)
    const pace = beginPace(cause, upstream.slots, beganAt)
    this.paces.set(upstream.id, pace)
    if (known?.cause === cause && known.changedAt === known.beganAt) return
    log.info('upstream gets few requests at first', { upstream: upstream.id, cause, allowance: pace.allowance, slots: upstream.slots, beginsInMilliseconds: Math.max(0, Math.round(beganAt - monotonicNow())) })
  }

  /** Requests of all entries that may be in progress at an upstream now; undefined for one that neither starts nor recovers. */
  allowanceOf (view: UpstreamView): number | undefined {
    const { upstream, unstarted } = view
    const pace = this.paces.get(upstream.id)
    if (pace === undefined) return undefined
    const now = monotonicNow()
    const allowance = allowanceAt(pace, unstarted, this.usual.get(upstream.service), now)
    return isPaceOver(pace, allowance, upstream.slots, now) ? undefined : allowance
  }

  /** What began the start or recovery of an upstream, and what changed its allowance last; undefined for none. */
  stateOf (id: string): Pick<StartPace, 'cause' | 'change'> | undefined {
    return this.paces.get(id)
  }

  /** Requests of this entry that may be in progress at an upstream where no agent counts those of all; undefined for any number. */
  ownAllowance (view: UpstreamView): number | undefined {
    const allowance = this.allowanceOf(view)
    if (allowance === undefined) return undefined
    const ranked = this.ranks.rank(view.upstream.id, () => this.context.knownEntries(), monotonicNow())
    const rank = ranked.indexOf(this.context.instance)
    return ownPart(allowance, rank === -1 ? ranked.length : rank, ranked.length)
  }

  /** Records the first event or the head of an answer to a request that was sent at `sentAt`. */
  recordAnswer (view: UpstreamView, sentAt: number): void {
    const { id, service } = view.upstream
    const now = monotonicNow()
    const pace = this.paces.get(id)
    const usualMilliseconds = this.usual.get(service)
    if (this.context.isAdaptive(service)) this.usual.set(service, updateUsual(usualMilliseconds, now - sentAt))
    if (pace !== undefined) this.replace(view, pace, paceAfterAnswer(pace, { sentAt, now, usualMilliseconds }), now - sentAt)
  }

  /** Records that a request that was sent at `sentAt` was refused. */
  recordRefusal (view: UpstreamView, sentAt: number): void {
    const pace = this.paces.get(view.upstream.id)
    if (pace !== undefined) this.replace(view, pace, paceAfterRefusal(pace, sentAt, monotonicNow()))
  }

  /** Records that a call that was sent at `sentAt` failed. */
  recordFailure (view: UpstreamView, sentAt: number): void {
    const pace = this.paces.get(view.upstream.id)
    if (pace !== undefined) this.replace(view, pace, paceAfterFailure(pace, sentAt, monotonicNow()))
  }

  /** Deletes the start or recovery of an upstream that may have requests for all its slots again. */
  deleteIfOver (view: UpstreamView): void {
    const { id } = view.upstream
    const pace = this.paces.get(id)
    if (pace === undefined || this.allowanceOf(view) !== undefined) return
    this.paces.delete(id)
    log.info('start or recovery of an upstream is over', { upstream: id, cause: pace.cause, change: pace.change, milliseconds: Math.round(monotonicNow() - pace.beganAt) })
  }

  /** Deletes the state of an upstream that was removed. */
  forget (id: string): void {
    this.paces.delete(id)
    this.ranks.forget(id)
  }

  private replace ({ upstream }: UpstreamView, before: StartPace, after: StartPace, firstEventMilliseconds = -1): void {
    this.paces.set(upstream.id, after)
    if (after.changedAt === before.changedAt) return
    log.info(after.allowance < before.allowance ? 'allowance of a starting upstream lowered' : 'allowance of a starting upstream raised', { upstream: upstream.id, cause: after.cause, change: after.change, allowance: Math.floor(after.allowance), firstEventMilliseconds: Math.round(firstEventMilliseconds), usualMilliseconds: Math.round(this.usual.get(upstream.service) ?? -1) })
  }
}
