/** The upstreams as one entry knows them, from their records, the reports of their agents and its own calls. */
import { ColdRateLimiter, coldPermitsPerSecond } from '../../core/dispatch/cold-rate.js'
import { updateHealth, initialHealth, type CallOutcome } from '../../core/dispatch/upstream-health.js'
import { vouchedLoadOf } from '../../core/weights/load-trust.js'
import type { PlacementFailure } from '../../core/dispatch/queueing.js'
import type { Service, Upstream, VouchedLoad } from '../../types/fleet.js'
import type { AnswerHead, StatedLoad } from '../../types/ports.js'
import type { LoadReport, SlotReply } from '../../types/node-messages.js'
import { logFor } from '../../utils/log.js'
import { monotonicNow } from '../../utils/clock.js'
import { UpstreamAvailability } from './upstream-availability.js'
import { expectedAt, startsUntil } from './expected-at.js'
import { ExpectedTimes } from './expected-times.js'
import { Responsiveness } from './responsiveness.js'
import { StartPaces } from './start-paces.js'
import { coldBoundsOf, coldSharesOf, usesColdShare, UpstreamSelection, type PoolContext, type SelectionFailure, type UpstreamRequirements } from './upstream-selection.js'
import { engineIdsByIp, loadShareOf, unobservedLoad, newerWeights, type ObservedLoad, type UpstreamView } from './upstream-view.js'

const log = logFor('instances')

/** Time for which an upstream that refused a request counts as at capacity, milliseconds. */
const shedBackoffMilliseconds = 150

/** All upstreams of one entry; times are milliseconds of the monotonic clock. */
export class UpstreamPool {
  private readonly views = new Map<string, UpstreamView>()
  /** Ids of the engines by the IP of their machine; undefined after a change of the list. */
  private engineIds: ReadonlyMap<string, readonly string[]> | undefined
  /** Services of which an upstream has stated how fast it works. */
  private readonly pacedServices = new Set<string>()
  /** Paces and expected times. */
  readonly times: ExpectedTimes
  private readonly coldRate = new ColdRateLimiter()
  private readonly responsiveness = new Responsiveness(view => { this.paces.begin(view, 'unresponsiveness') })
  /** Starts and recoveries in progress. */
  readonly paces: StartPaces
  /** Which upstreams leave, rest or are withdrawn. */
  readonly availability: UpstreamAvailability
  private readonly selection: UpstreamSelection

  constructor (private readonly context: PoolContext, private readonly serviceOf: (name: string) => Service | undefined, private readonly random: () => number = Math.random) {
    this.times = new ExpectedTimes(service => serviceOf(service)?.engine)
    this.paces = new StartPaces(context)
    this.availability = new UpstreamAvailability(dataCentre => context.isEvacuated(dataCentre))
    this.selection = new UpstreamSelection({ pool: context, availability: this.availability, responsiveness: this.responsiveness, coldRate: this.coldRate, paces: this.paces, times: this.times }, random)
  }

  /** Applies a record of the instance list. `isFirst` marks records that were found at the start. */
  putRecord (upstream: Upstream, isFirst: boolean): void {
    const known = this.views.get(upstream.id)
    const now = monotonicNow()
    const isSame = known !== undefined && known.upstream.startedAt === upstream.startedAt && known.upstream.address === upstream.address
    if (this.availability.observeRecord(upstream, isSame && known.upstream.isDraining)) this.context.upstreamLeaves()
    const coldUntil = upstream.coldMilliseconds > 0 ? now + upstream.coldMilliseconds : isSame ? known.coldUntil : 0
    if (!isSame || known.upstream.isDraining !== upstream.isDraining) {
      log.info('upstream listed, restarted or changed between ready and draining', { upstream: upstream.id, service: upstream.service, dataCentre: upstream.dataCentre, state: upstream.isDraining ? 'draining' : 'ready', startedAt: upstream.startedAt, version: upstream.weights?.version ?? 0, coldMilliseconds: upstream.coldMilliseconds, isFirst })
    }
    if (isSame) {
      const weights = known.isReported ? known.weights : newerWeights(known.weights, upstream.weights)
      if (known.upstream.isEngine !== upstream.isEngine) this.engineIds = undefined
      this.views.set(upstream.id, { ...known, upstream, coldUntil, weights, retainedUntil: undefined })
      if (known.retainedUntil !== undefined) this.paces.begin({ upstream }, 'cut')
      return
    }
    this.engineIds = undefined
    if (known !== undefined && known.upstream.startedAt !== upstream.startedAt) this.context.upstreamGone(known.upstream)
    this.views.set(upstream.id, { upstream, health: initialHealth, inFlight: known?.inFlight ?? 0, unstarted: known?.unstarted ?? 0, observedLoad: unobservedLoad, coldUntil, atCapacityUntil: 0, weights: upstream.weights, reportedVersion: undefined, isReported: false, vouched: known?.vouched, isSwapping: false, readyAt: undefined, retainedUntil: undefined })
    if (!isFirst || coldUntil > now) this.paces.begin({ upstream }, 'start')
  }

  /** Handles the removal of a record. The upstream is used until `retainUntil`, milliseconds of the monotonic clock, or that of an earlier removal: the record may only have lapsed. */
  dropRecord (id: string, retainUntil: number): void {
    const view = this.views.get(id)
    if (view === undefined) return
    const isRetained = retainUntil > monotonicNow()
    log.info('upstream record removed', { upstream: id, service: view.upstream.service, retainedMilliseconds: Math.max(0, Math.round(retainUntil - monotonicNow())) })
    if (isRetained) this.views.set(id, { ...view, retainedUntil: view.retainedUntil ?? retainUntil })
    else this.delete(id)
  }

  /** Deletes upstreams whose record was removed and not written again in time, and starts and recoveries that are over. */
  deleteExpired (): void {
    const now = monotonicNow()
    for (const [id, view] of this.views) {
      this.paces.deleteIfOver(view)
      if (view.retainedUntil === undefined || view.retainedUntil > now) continue
      log.info('upstream deleted: its record was not written again in time', { upstream: id, service: view.upstream.service })
      this.delete(id)
    }
  }

  /** Applies the report of an agent about the engine on its machine, which has the IP of the agent. */
  applyLoadReport (report: LoadReport, ip: string): void {
    this.engineIds ??= engineIdsByIp(this.all())
    for (const id of this.engineIds.get(ip) ?? []) {
      const view = this.views.get(id)
      if (view === undefined) continue
      const reported = this.withReport(view, report)
      this.views.set(id, reported)
      this.beginAfterReport(view, reported)
    }
  }

  /** Applies what the head of an answer states of its upstream; the request was sent to this incarnation at `sentAt`. */
  applyAnswerHead (called: Upstream, head: AnswerHead, sentAt: number): void {
    const { id } = called
    const view = this.views.get(id)
    if (view === undefined) return
    if (view.upstream.startedAt === called.startedAt) this.observeAvailability(view, head, sentAt)
    if (!head.isMisdirected && (head.isSigned || head.isNotRun)) this.context.limits.observe(view.upstream, head, sentAt)
    if (head.load?.pace !== undefined) this.pacedServices.add(view.upstream.service)
    if (head.load !== undefined && view.upstream.startedAt === called.startedAt) this.observeTimes(view, head.load)
    if (head.load !== undefined) this.views.set(id, { ...view, observedLoad: this.observeLoad(view, head.load.running + head.load.waiting) })
  }

  /** Records that another upstream or other weights were at the address: an upstream with weights gets no requests until its agent reports again. */
  recordMisdirected (id: string): void {
    const view = this.views.get(id)
    if (view !== undefined) this.views.set(id, { ...view, weights: undefined, reportedVersion: undefined, atCapacityUntil: monotonicNow() + shedBackoffMilliseconds })
  }

  /** Records that bytes of an answer were received. */
  recordActivity (id: string): void {
    this.responsiveness.recordReceived(id, monotonicNow())
  }

  /** Chooses an upstream for a request, or tells why there is none. */
  choose (requirements: UpstreamRequirements): UpstreamView | SelectionFailure {
    return this.selection.choose([...this.views.values()], requirements)
  }

  /** Applies an agent's reply to a request for a slot. */
  receiveSlotReply (reply: SlotReply): void {
    const id = this.context.slots.upstreamOf(reply)
    const view = id === undefined ? undefined : this.views.get(id)
    if (id === undefined || view === undefined) return
    this.views.set(id, { ...view, observedLoad: this.observeLoad(view, reply.load) })
    if (this.times.observeReply(view, reply, monotonicNow())) this.pacedServices.add(view.upstream.service)
    this.context.slots.receive(reply)
  }

  /** The last load for which the agent at an IP vouched; undefined for none. */
  vouchedAt (ip: string): VouchedLoad | undefined {
    this.engineIds ??= engineIdsByIp(this.all())
    const vouched = (this.engineIds.get(ip) ?? []).flatMap(id => this.views.get(id)?.vouched ?? [])
    return vouched.sort((left, right) => left.startedAt - right.startedAt || left.orders - right.orders).at(-1)
  }

  /** State of an upstream; undefined for one that is not listed. */
  find (id: string): UpstreamView | undefined { return this.views.get(id) }

  /** Records that a request is sent to an upstream. */
  recordSent (id: string): void {
    const view = this.views.get(id)
    if (view === undefined) return
    const now = monotonicNow()
    const service = this.serviceOf(view.upstream.service)
    if (service !== undefined && view.coldUntil > now && usesColdShare(view, this.context, now)) this.coldRate.take(id, this.context.knownEntries(), coldSharesOf(service, this.context), now)
    this.context.limits.take(view.upstream)
    this.availability.recordSent(view.upstream)
    const observedLoad = { ...view.observedLoad, sent: view.observedLoad.sent + 1 }
    this.responsiveness.recordSent(view, now)
    this.views.set(id, { ...view, observedLoad, inFlight: view.inFlight + 1, unstarted: view.unstarted + 1 })
  }

  /** Records that the answer to a request that was sent at `answeredSentAt` has started, or, where that is undefined, that the call ended without one. */
  recordStarted (id: string, answeredSentAt?: number): void {
    const view = this.views.get(id)
    if (view === undefined) return
    const started = { ...view, unstarted: Math.max(0, view.unstarted - 1) }
    this.views.set(id, started)
    if (answeredSentAt === undefined) return
    this.paces.recordAnswer(started, answeredSentAt)
    this.paces.deleteIfOver(started)
  }

  /** Records how a call ended that was sent at `sentAt`; `none` for one that says nothing about the upstream's health. */
  recordEnded (id: string, evidence: CallOutcome | 'shed' | 'none', sentAt = monotonicNow()): void {
    const view = this.views.get(id)
    if (view === undefined) return
    const now = monotonicNow()
    const ended = { ...view, inFlight: Math.max(0, view.inFlight - 1), observedLoad: { ...view.observedLoad, ended: view.observedLoad.ended + 1 } }
    if (evidence === 'none') this.views.set(id, ended)
    else if (evidence === 'shed') {
      this.views.set(id, { ...ended, atCapacityUntil: now + shedBackoffMilliseconds })
      this.paces.recordRefusal(ended, sentAt)
    } else this.recordEvidence(ended, evidence, now, sentAt)
  }

  /** Load as a share of the slots of a service's upstreams, 0 to 1, for the log; 1 where there are no slots. */
  loadShare (service: string): number {
    return loadShareOf([...this.views.values()].filter(view => view.upstream.service === service), monotonicNow())
  }

  /** When the first upstream of a service is expected to take a request that none took for this reason, milliseconds of the monotonic clock; undefined while that is not known. */
  expectedAt (service: string, reason: PlacementFailure): number | undefined {
    const views = [...this.views.values()].filter(({ upstream }) => upstream.service === service)
    return expectedAt(views, reason, this.availability, this.context)
  }

  /** Requests a second that a cold upstream without an agent takes by permits, see `UpstreamLimits`; undefined for any other. */
  coldPermitRate (id: string): number | undefined {
    const view = this.views.get(id)
    if (view === undefined || view.upstream.isEngine || view.coldUntil <= monotonicNow() || !this.context.isAdaptive(view.upstream.service)) return undefined
    const service = this.serviceOf(view.upstream.service)
    return service === undefined || service.coldRequestsPerSecond <= 0 ? undefined : coldPermitsPerSecond(coldBoundsOf(service, this.context))
  }

  /** Requests that upstreams of a service which do not serve now, but will, can start by `latest`, milliseconds of the monotonic clock, at one in each interval. */
  startsUntil (service: string, latest: number, intervalMilliseconds: number): number {
    const views = [...this.views.values()].filter(({ upstream }) => upstream.service === service)
    return startsUntil(views, latest, intervalMilliseconds, monotonicNow(), this.context.isEvacuated)
  }

  /** Whether an upstream of a service has stated how fast it works. */
  statesPace (service: string): boolean {
    return this.pacedServices.has(service)
  }

  /** State of every upstream. */
  all (): readonly UpstreamView[] { return [...this.views.values()] }

  private withReport (view: UpstreamView, report: LoadReport): UpstreamView {
    const isRestart = report.startedAt !== view.upstream.startedAt && report.startedAt > view.upstream.startedAt
    const now = monotonicNow()
    if (isRestart) this.context.upstreamGone(view.upstream)
    return {
      ...view,
      upstream: isRestart ? { ...view.upstream, startedAt: report.startedAt } : view.upstream,
      health: view.health.losses > 0 && isRestart ? initialHealth : view.health,
      coldUntil: isRestart ? now + (this.serviceOf(view.upstream.service)?.coldMilliseconds ?? 0) : view.coldUntil,
      ...report.version > 0 ? { weights: { model: report.model, version: report.version }, reportedVersion: report.version } : { weights: undefined, reportedVersion: undefined },
      isReported: true,
      vouched: vouchedLoadOf(report) ?? view.vouched,
      isSwapping: report.isSwapping,
      readyAt: report.readyInMilliseconds < 0 ? undefined : now + report.readyInMilliseconds,
      observedLoad: this.observeLoad(view, report.running + report.waiting)
    }
  }

  /** Applies a load with its pace, and tells the agent of the engine where it does not know the pace. */
  private observeTimes (view: UpstreamView, load: StatedLoad): void {
    const pace = this.times.observe(view, load, monotonicNow())
    if (pace !== undefined && this.context.placesByTime?.(view.upstream.service) !== false) this.context.slots.reportPace(view, pace)
  }

  /** Begins a recovery after a report of a restart or of other weights. */
  private beginAfterReport (before: UpstreamView, after: UpstreamView): void {
    if (before.upstream.startedAt !== after.upstream.startedAt) this.paces.begin(after, 'start')
    else if (before.isReported && after.reportedVersion !== undefined && !after.isSwapping && (before.isSwapping || before.reportedVersion !== after.reportedVersion)) this.paces.begin(after, 'swap')
  }

  /** Applies what the head of an answer says of a rest, which a recovery follows. */
  private observeAvailability (view: UpstreamView, head: AnswerHead, sentAt: number): void {
    this.availability.observe(view.upstream, head, sentAt)
    const restEnd = head.rest.kind === 'rest' ? this.availability.restEnd(view.upstream) : undefined
    if (restEnd !== undefined) this.paces.begin(view, 'rest', restEnd)
  }

  private delete (id: string): void {
    const view = this.views.get(id)
    this.engineIds = undefined
    this.views.delete(id)
    if (view !== undefined) this.context.upstreamGone(view.upstream)
    this.coldRate.forget(id)
    this.context.limits.forget(id)
    this.context.slots.forget(id)
    this.availability.forget(id)
    this.responsiveness.forget(id)
    this.paces.forget(id)
    this.times.forget(id)
  }

  private recordEvidence (view: UpstreamView, evidence: CallOutcome, now: number, sentAt: number): void {
    const { id } = view.upstream
    const health = updateHealth(view.health, evidence, now, sentAt)
    if (health.ejectedUntil > now && view.health.ejectedUntil <= now) {
      log.warn('upstream ejected after failed calls', { upstream: id, evidence, losses: health.losses, errorShare: Math.round(health.errorShare * 100) / 100, milliseconds: Math.round(health.ejectedUntil - now) })
    }
    this.views.set(id, { ...view, health })
    if (evidence !== 'good') this.paces.recordFailure(view, sentAt)
    if (health.ejectedUntil > Math.max(now, view.health.ejectedUntil)) this.paces.begin(view, 'ejection', health.ejectedUntil)
  }

  /** Whether an upstream gets no request now: it is withdrawn, or rests. */
  isWithdrawn (id: string): boolean {
    const view = this.views.get(id)
    return view === undefined || this.availability.isWithdrawn(view) || this.availability.isResting(view.upstream)
  }

  /** Load of an upstream observed now, with `total` requests of all entries. */
  private observeLoad (view: UpstreamView, total: number): ObservedLoad {
    return { total, local: view.inFlight, roundingOffset: this.random(), sent: 0, ended: 0, at: monotonicNow() }
  }
}
