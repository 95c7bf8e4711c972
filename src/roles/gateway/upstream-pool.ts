/** The upstreams as one entry sees them: their records, their agents' reports, and its own calls. */
import { ColdRateLimiter, type ColdBounds } from '../../core/dispatch/cold-rate.js'
import { updateHealth, excludeEjected, penaltyOf, initialHealth, type CallOutcome } from '../../core/dispatch/upstream-health.js'
import { concurrencyLimit, placeRequest, type Admission, type Candidate } from '../../core/dispatch/placement.js'
import { freeSlotsByReport, freeSlotsWithoutReport } from '../../core/dispatch/free-slots.js'
import { UpstreamActivity } from '../../core/dispatch/upstream-activity.js'
import type { Service, Upstream } from '../../types/fleet.js'
import type { AnswerHead } from '../../types/ports.js'
import type { LoadReport } from '../../types/node-messages.js'
import { logFor } from '../../utils/log.js'
import { steadyNow } from '../../utils/clock.js'
import { isLoadRecent, estimateLoad, unobservedLoad, newerWeights, type ObservedLoad, type UpstreamView } from './upstream-view.js'

const log = logFor('instances')

/** Time for which an upstream that shed a request counts as full, milliseconds. */
const shedBackoffMilliseconds = 150

/** What a request asks of its upstream. */
export interface UpstreamRequirements {
  readonly service: Service
  readonly regions: readonly string[] | undefined
  readonly admission: Admission
  readonly tried: ReadonlySet<string>
  /** Lowest version of the weights that may serve it; undefined for a service without weights. */
  readonly minimumVersion: number | undefined
  /** Version on which a stream began, to go on with where some upstream still serves it. */
  readonly streamVersion: number | undefined
}

/** What the pool needs to know of the entry that it belongs to. */
export interface PoolContext {
  readonly instance: string
  readonly dataCentre: string
  readonly regionOf: ReadonlyMap<string, string>
  readonly cold: { readonly factor: number, readonly slack: number }
  /** Living entries, this one among them. */
  entries (): readonly string[]
  isEvacuated (dataCentre: string): boolean
}

/** Why no upstream took a request. */
export type SelectionFailure = 'no-upstream' | 'no-weights' | 'full'

/** All upstreams. */
export class UpstreamPool {
  private readonly views = new Map<string, UpstreamView>()
  private readonly coldRate = new ColdRateLimiter()
  private readonly activity = new UpstreamActivity()
  /** Upstreams that were silent at the last look, for the log. */
  private readonly unresponsive = new Set<string>()

  constructor (private readonly context: PoolContext, private readonly serviceOf: (name: string) => Service | undefined, private readonly random: () => number = Math.random) {}

  /** Takes a record of the instance list. `isFirst` marks those found at the start. */
  putRecord (upstream: Upstream, isFirst: boolean): void {
    const known = this.views.get(upstream.id)
    const now = steadyNow()
    const isSame = known !== undefined && known.upstream.startedAt === upstream.startedAt && known.upstream.address === upstream.address
    const coldUntil = upstream.coldMilliseconds > 0 ? now + upstream.coldMilliseconds : isSame ? known.coldUntil : 0
    if (!isSame || known.upstream.isDraining !== upstream.isDraining) {
      log.info('an upstream is listed', { upstream: upstream.id, service: upstream.service, dataCentre: upstream.dataCentre, state: upstream.isDraining ? 'draining' : 'ready', startedAt: upstream.startedAt, version: upstream.weights?.version ?? 0, coldMilliseconds: upstream.coldMilliseconds, isFirst })
    }
    if (isSame) {
      const weights = newerWeights(known.weights, upstream.weights)
      this.views.set(upstream.id, { ...known, upstream, coldUntil, weights, retainedUntil: undefined })
      return
    }
    this.views.set(upstream.id, { upstream, health: initialHealth, inFlight: known?.inFlight ?? 0, unstarted: known?.unstarted ?? 0, observedLoad: unobservedLoad, coldUntil, atCapacityUntil: 0, weights: upstream.weights, isSwapping: false, readyAt: undefined, retainedUntil: undefined })
  }

  /** Takes the word that a record is gone; it may only have lapsed while the log was away, and is used until `keepUntil`. */
  dropRecord (id: string, keepUntil: number): void {
    const view = this.views.get(id)
    if (view === undefined) return
    const isKept = keepUntil > steadyNow()
    log.info('an upstream is no longer listed', { upstream: id, service: view.upstream.service, keptMilliseconds: Math.max(0, Math.round(keepUntil - steadyNow())) })
    if (isKept) this.views.set(id, { ...view, retainedUntil: view.retainedUntil ?? keepUntil })
    else this.delete(id)
  }

  /** The log is back: upstreams that were dropped meanwhile are used until `until`, steady milliseconds, at most. */
  limitRetention (until: number): void {
    for (const [id, view] of this.views) {
      if (view.retainedUntil !== undefined) this.views.set(id, { ...view, retainedUntil: Math.min(view.retainedUntil, until) })
    }
  }

  /** Deletes upstreams whose record lapsed and did not come back in time. */
  deleteExpired (): void {
    const now = steadyNow()
    for (const [id, view] of this.views) {
      if (view.retainedUntil === undefined || view.retainedUntil > now) continue
      log.info('an upstream whose record lapsed did not come back', { upstream: id, service: view.upstream.service })
      this.delete(id)
    }
  }

  /** Takes an agent's report about the engine on its machine. */
  applyLoadReport (report: LoadReport, ip: string): void {
    for (const [id, view] of this.views) {
      if (!view.upstream.isEngine || !view.upstream.address.startsWith(`${ip}:`)) continue
      const service = this.serviceOf(view.upstream.service)
      const isRestart = report.startedAt !== view.upstream.startedAt && report.startedAt > view.upstream.startedAt
      const weights = report.version > 0 ? { model: report.model, version: report.version } : undefined
      const now = steadyNow()
      const coldUntil = isRestart ? now + (service?.coldMilliseconds ?? 0) : view.coldUntil
      const upstream = isRestart ? { ...view.upstream, startedAt: report.startedAt } : view.upstream
      const health = view.health.losses > 0 && isRestart ? initialHealth : view.health
      this.views.set(id, { ...view, upstream, health, coldUntil, weights, isSwapping: report.isChanging, readyAt: report.readyInMilliseconds < 0 ? undefined : now + report.readyInMilliseconds, observedLoad: this.observeLoad(view, report.running + report.waiting) })
    }
  }

  /** Takes what an answer says of its upstream's load. */
  applyAnswerLoad (id: string, load: AnswerHead['load']): void {
    const view = this.views.get(id)
    if (view === undefined || load === undefined) return
    this.views.set(id, { ...view, observedLoad: this.observeLoad(view, load.running + load.waiting) })
  }

  /** Notes that an upstream has other weights, or none, than was believed: it gets nothing until its agent tells. */
  recordMisdirected (id: string): void {
    const view = this.views.get(id)
    if (view !== undefined) this.views.set(id, { ...view, weights: undefined, atCapacityUntil: steadyNow() + shedBackoffMilliseconds })
  }

  /** Notes bytes of an answer of an upstream. */
  recordActivity (id: string): void {
    this.activity.recordReceived(id, steadyNow())
  }

  /** Chooses an upstream for a request. */
  choose (need: UpstreamRequirements): UpstreamView | SelectionFailure {
    const now = steadyNow()
    const listed = [...this.views.values()].filter(view => this.mayServe(view, need))
    if (listed.length === 0) return 'no-upstream'
    const able = listed.filter(view => this.hasWeights(view, need))
    if (able.length === 0) return 'no-weights'
    const same = able.filter(view => view.weights?.version === need.streamVersion)
    const sound = this.preferResponsive(excludeEjected(same.length > 0 ? same : able, now), now).filter(view => view.atCapacityUntil <= now && this.isWithinColdRate(view, need.service, now))
    const chosen = placeRequest(sound.map(view => this.candidateOf(view, need.admission, now)), this.random)
    return chosen === undefined ? 'full' : this.views.get(chosen.id) ?? 'full'
  }

  /** Notes that a request goes to an upstream. */
  recordSent (id: string): void {
    const view = this.views.get(id)
    if (view === undefined) return
    const now = steadyNow()
    const service = this.serviceOf(view.upstream.service)
    if (service !== undefined && view.coldUntil > now) this.coldRate.take(id, this.context.entries(), this.coldBounds(service), now)
    const heard = { ...view.observedLoad, sent: view.observedLoad.sent + 1 }
    this.activity.recordSent(id, view.inFlight, now)
    this.views.set(id, { ...view, observedLoad: heard, inFlight: view.inFlight + 1, unstarted: view.unstarted + 1 })
  }

  /** Notes that the answer of a request at an upstream has begun. */
  recordStarted (id: string): void {
    const view = this.views.get(id)
    if (view !== undefined) this.views.set(id, { ...view, unstarted: Math.max(0, view.unstarted - 1) })
  }

  /** Notes how a request at an upstream ended. */
  recordEnded (id: string, evidence: CallOutcome | 'shed' | 'none'): void {
    const view = this.views.get(id)
    if (view === undefined) return
    const now = steadyNow()
    const ended = { ...view, inFlight: Math.max(0, view.inFlight - 1), observedLoad: { ...view.observedLoad, ended: view.observedLoad.ended + 1 } }
    if (evidence === 'none') this.views.set(id, ended)
    else if (evidence === 'shed') this.views.set(id, { ...ended, atCapacityUntil: now + shedBackoffMilliseconds })
    else this.recordEvidence(ended, evidence, now)
  }

  /** Load as a share of the slots of a service's upstreams, for metrics and refusals. */
  loadShare (service: string): number {
    const now = steadyNow()
    const views = [...this.views.values()].filter(view => view.upstream.service === service)
    const slots = views.reduce((sum, view) => sum + view.upstream.slots, 0)
    const load = views.reduce((sum, view) => sum + Math.min(view.upstream.slots, estimateLoad(view, now)), 0)
    return slots === 0 ? 1 : load / slots
  }

  /** Steady milliseconds at which the first upstream of a service is expected to serve; undefined when nothing is known. */
  expectedReadyAt (service: string): number | undefined {
    const times = [...this.views.values()].flatMap(({ upstream, readyAt }) => upstream.service === service && readyAt !== undefined && !this.context.isEvacuated(upstream.dataCentre) ? [readyAt] : [])
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** Every view, for subscriptions and metrics. */
  all (): readonly UpstreamView[] {
    return [...this.views.values()]
  }

  /** Engines report to every entry; of plain upstreams only their answers tell. */
  private freeSlotsAt (view: UpstreamView, limit: number, now: number): number {
    if (!view.upstream.isEngine) return limit - estimateLoad(view, now)
    const entries = this.context.entries().length
    return isLoadRecent(view, now) ? freeSlotsByReport(limit, view.observedLoad, entries) : freeSlotsWithoutReport(limit, view.inFlight, entries)
  }

  private delete (id: string): void {
    this.views.delete(id)
    this.coldRate.forget(id)
    this.activity.forget(id)
    this.unresponsive.delete(id)
  }

  private recordEvidence (view: UpstreamView, evidence: CallOutcome, now: number): void {
    const { id } = view.upstream
    const health = updateHealth(view.health, evidence, now)
    if (health.ejectedUntil > now && view.health.ejectedUntil <= now) {
      log.warn('an upstream gets no requests for a while', { upstream: id, evidence, losses: health.losses, errorShare: Math.round(health.errorShare * 100) / 100, milliseconds: Math.round(health.ejectedUntil - now) })
    }
    this.views.set(id, { ...view, health })
  }

  /** Engines that say something, or all where none does. */
  private preferResponsive (views: readonly UpstreamView[], now: number): readonly UpstreamView[] {
    const heard = views.filter(view => !this.isUnresponsive(view, now))
    return heard.length > 0 ? heard : views
  }

  private isUnresponsive ({ upstream, inFlight }: UpstreamView, now: number): boolean {
    const isSilent = upstream.isEngine && this.activity.isUnresponsive(upstream.id, inFlight, now)
    if (isSilent === this.unresponsive.has(upstream.id)) return isSilent
    if (isSilent) this.unresponsive.add(upstream.id)
    else this.unresponsive.delete(upstream.id)
    log.warn(isSilent ? 'an upstream says nothing and gets no more requests' : 'an upstream is heard again', { upstream: upstream.id, inFlight })
    return isSilent
  }

  private mayServe (view: UpstreamView, need: UpstreamRequirements): boolean {
    const { upstream } = view
    if (view.retainedUntil !== undefined && view.retainedUntil <= steadyNow()) return false
    if (upstream.service !== need.service.name || upstream.isDraining || need.tried.has(upstream.id)) return false
    if (this.context.isEvacuated(upstream.dataCentre)) return false
    const region = this.context.regionOf.get(upstream.dataCentre)
    return need.regions === undefined || (region !== undefined && need.regions.includes(region))
  }

  private hasWeights (view: UpstreamView, need: UpstreamRequirements): boolean {
    if (need.minimumVersion === undefined) return true
    return !view.isSwapping && view.weights !== undefined && view.weights.version >= need.minimumVersion
  }

  private isWithinColdRate (view: UpstreamView, service: Service, now: number): boolean {
    if (view.coldUntil <= now) return true
    return this.coldRate.mayTake(view.upstream.id, this.context.instance, this.context.entries(), this.coldBounds(service), now)
  }

  private coldBounds (service: Service): ColdBounds {
    return { perSecond: service.coldPerSecond, ...this.context.cold }
  }

  private observeLoad (view: UpstreamView, total: number): ObservedLoad {
    return { total, local: view.inFlight, roundingOffset: this.random(), sent: 0, ended: 0, at: steadyNow() }
  }

  private candidateOf (view: UpstreamView, admission: Admission, now: number): Candidate {
    return {
      id: view.upstream.id,
      load: estimateLoad(view, now),
      freeSlots: this.freeSlotsAt(view, concurrencyLimit(view.upstream.slots, admission), now),
      unstarted: view.unstarted,
      isSameDataCentre: view.upstream.dataCentre === this.context.dataCentre,
      penalty: penaltyOf(view.health)
    }
  }
}
