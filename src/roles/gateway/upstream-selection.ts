/** Selection of the upstream that takes a request, among those that one entry knows. */
import { coldGrants, coldReserve, type ColdBounds, type ColdRateLimiter } from '../../core/dispatch/cold-rate.js'
import { freeSlotsByReport, freeSlotsWithoutReport } from '../../core/dispatch/free-slots.js'
import type { RequestWork } from '../../core/dispatch/expected-time.js'
import { concurrencyLimit, placeByTime, placeRequest, toCompare, type AdmissionLimits } from '../../core/dispatch/placement.js'
import type { PlacementFailure } from '../../core/dispatch/queueing.js'
import type { SlotSearch } from '../../core/dispatch/slot-requests.js'
import { excludeEjected, penaltyOf } from '../../core/dispatch/upstream-health.js'
import { sample } from '../../core/fleet/gossip-plan.js'
import type { Service, Upstream } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'
import type { EngineSlots, ViewedCandidate } from './engine-slots.js'
import type { ExpectedTimes } from './expected-times.js'
import type { Responsiveness } from './responsiveness.js'
import type { StartPaces } from './start-paces.js'
import type { UpstreamAvailability } from './upstream-availability.js'
import type { UpstreamLimits } from './upstream-limits.js'
import { estimateLoad, hasWeights, isLoadRecent, type UpstreamView } from './upstream-view.js'

/** Permits of limited upstreams that one request asks for: with more, most would not be used. */
const permitRequestsPerChoice = 2

/** Longest time for which a request waits for permits of cold upstreams although others could take it, milliseconds: a round trip within a region and a check of the queue. */
const permitWaitMilliseconds = 45
/** Exponent of the random factor of expected times from loads that entries estimate, see `placeByTime`; loads that agents count for each grant need none. */
const estimatedLoadSpread = 0.2
/** Pace relative to that of the chosen engine from which the slot of another one is given back. */
const slowerFactor = 1.5

/** What a request requires of its upstream. */
export interface UpstreamRequirements {
  readonly service: Service
  /** Regions that may serve it; undefined for all. */
  readonly regions: readonly string[] | undefined
  readonly admission: AdmissionLimits
  /** Ids of upstreams that were called for it and are not called again. */
  readonly tried: ReadonlySet<string>
  /** Lowest version of the weights that may serve it; undefined for a service without weights. */
  readonly minimumVersion: number | undefined
  /** Version on which its stream started, preferred while an upstream serves it; undefined before the start. */
  readonly streamVersion: number | undefined
  /** Its search for a slot of an engine whose agent grants them; undefined to use this entry's share of the slots. */
  readonly search: SlotSearch | undefined
  /** Its work, by which expected times are compared; undefined for a service whose upstreams state no pace. */
  readonly work?: RequestWork | undefined
}

/** The entry that a pool belongs to, and what the pool needs to know of it. */
export interface PoolContext {
  readonly instance: string
  readonly dataCentre: string
  /** Region of each data centre. */
  readonly regionOf: ReadonlyMap<string, string>
  /** A cold upstream may get its rate times `factor`, plus `slack` requests, in one second from all entries. */
  readonly cold: { readonly factor: number, readonly slack: number }
  readonly limits: UpstreamLimits
  readonly slots: EngineSlots
  /** Instances of the living entries, including this one. */
  entries (): readonly string[]
  /** Instances among which the rate of a cold upstream is divided, see `Membership.knownEntries`. */
  knownEntries (): readonly string[]
  isEvacuated (dataCentre: string): boolean
  /** Whether a service's profile is adaptive, see `ServiceProfile`. */
  isAdaptive (service: string): boolean
  /** Whether placement among the upstreams of a service compares expected times, so that agents are told of paces; for all services if not set. */
  placesByTime? (service: string): boolean
  /** Called when an incarnation of an upstream is gone: its record was removed, or it has started again. */
  upstreamGone (upstream: Upstream): void
  /** Called when a record says that an upstream leaves of which that was not known. */
  upstreamLeaves (): void
}

/** Why no upstream was selected: no listed one may serve the request, none of these serves its weights, all of them rest, all are at capacity, all have named limits, which are used up, or their agents have not answered yet. */
export type SelectionFailure = Exclude<PlacementFailure, 'waits'>

/** What a selection knows besides the upstreams themselves. */
export interface SelectionState {
  readonly pool: PoolContext
  readonly availability: UpstreamAvailability
  readonly responsiveness: Responsiveness
  readonly coldRate: ColdRateLimiter
  readonly paces: StartPaces
  readonly times: ExpectedTimes
}

/** Selects upstreams for the requests of one entry; times are milliseconds of the monotonic clock. */
export class UpstreamSelection {
  private readonly context: PoolContext

  constructor (private readonly state: SelectionState, private readonly random: () => number) {
    this.context = state.pool
  }

  /** Chooses an upstream for a request, or tells why there is none. */
  choose (views: readonly UpstreamView[], requirements: UpstreamRequirements): UpstreamView | SelectionFailure {
    const now = monotonicNow()
    const { availability, responsiveness } = this.state
    const [entries, knownEntries] = [this.context.entries(), this.context.knownEntries()]
    const listed = views.filter(view => this.mayServe(view, requirements))
    if (listed.length === 0) return 'no-upstream'
    const withWeights = listed.filter(view => hasWeights(view, requirements.minimumVersion))
    if (withWeights.length === 0) return 'no-weights'
    const available = withWeights.filter(({ upstream }) => !availability.isResting(upstream))
    if (available.length === 0) return 'resting'
    const onStreamVersion = available.filter(view => view.weights?.version === requirements.streamVersion)
    const eligible = onStreamVersion.length > 0 ? onStreamVersion : available
    const open = responsiveness.prefer(excludeEjected(eligible, now), now).filter(view => view.atCapacityUntil <= now && availability.allowsRequest(view) && this.isWithinColdRate(view, requirements, knownEntries, now))
    const permitted = this.withPermit(open, now)
    if (this.awaitsColdPermit(open, permitted, requirements.search, now)) return 'asked'
    const candidates = this.candidatesOf(this.withinPace(permitted, requirements, now), requirements, entries.length, now)
    const placed = requirements.search === undefined ? this.chooseFrom(candidates, requirements, now) : this.place(candidates, requirements.search, requirements, now)
    if (placed === 'asked') return 'asked'
    return placed?.view ?? (eligible.every(({ upstream }) => this.context.limits.isLimited(upstream)) ? 'limited' : 'full')
  }

  /** Places a request where a slot is held for it or this entry's share of the slots leaves one; asks agents for slots first, and where there is none. */
  private place (candidates: readonly ViewedCandidate[], search: SlotSearch, requirements: UpstreamRequirements, now: number): ViewedCandidate | 'asked' | undefined {
    const { slots } = this.context
    const { admission, work } = requirements
    const paced = this.withoutPaceOfAll(candidates)
    const granting = paced.filter(({ view }) => this.isGranting(view, now))
    const others = paced.filter(candidate => !granting.includes(candidate))
    const isFirst = search.nextAskAt === undefined && granting.length > 0
    const granted = work === undefined ? granting.map(candidate => slots.withHeldSlot(candidate, admission, now)) : this.inTime(slots.onlyHeld(granting, admission, now), granting, requirements, now)
    const cheapest = this.chooseFrom([...granted, ...isFirst ? [] : others], requirements, now)
    const chosen = this.preferPermit(cheapest, others, requirements, now)
    if (chosen !== undefined) {
      slots.take(chosen.view, admission, now)
      if (work !== undefined) this.giveBackSlow(granted, chosen, admission, now)
      return chosen
    }
    if (granting.length === 0) return undefined
    if (slots.mayAsk(search, now)) slots.ask(search, granting, admission, now, work === undefined ? undefined : candidate => this.costOf(candidate, work, now))
    return slots.awaitsAnswer(search) ? 'asked' : undefined
  }

  /** Candidates among the upstreams. Of plain ones whose times are compared only those that are sampled, unless none of these has a free slot. */
  private candidatesOf (views: readonly UpstreamView[], requirements: UpstreamRequirements, entries: number, now: number): readonly ViewedCandidate[] {
    const toCandidate = (view: UpstreamView): ViewedCandidate => this.candidateOf(view, requirements, entries, now)
    if (requirements.work === undefined || requirements.service.engine !== undefined) return views.map(toCandidate)
    const sampled = toCompare(views, ({ upstream }) => upstream.dataCentre === this.context.dataCentre, this.random)
    const candidates = sampled.map(toCandidate)
    if (sampled.length === views.length || candidates.some(({ freeSlots }) => freeSlots >= 1)) return candidates
    return views.map(toCandidate)
  }

  /** The candidate that takes a request: by expected time where upstreams state their pace. */
  private chooseFrom (candidates: readonly ViewedCandidate[], { work }: UpstreamRequirements, now: number): ViewedCandidate | undefined {
    if (work === undefined) return placeRequest(candidates, this.random)
    const isCounted = candidates.every(({ view }) => view.upstream.isEngine)
    return placeByTime(candidates, candidate => this.costOf(candidate, work, now), isCounted ? 0 : estimatedLoadSpread, this.random)
  }

  private costOf (candidate: ViewedCandidate, work: RequestWork, now: number): number {
    return this.state.times.costOf(candidate, work, now) * (1 + candidate.penalty / Math.max(1, candidate.view.upstream.slots))
  }

  /** Granted slots at which a request is expected within its goal; the others are given back. All of them where no engine is expected to serve it in time, as it gains nothing by waiting then. */
  private inTime (granted: readonly ViewedCandidate[], granting: readonly ViewedCandidate[], { work, admission }: UpstreamRequirements, now: number): readonly ViewedCandidate[] {
    if (work?.remainingMilliseconds === undefined || granted.length === 0) return granted
    const isInTime = (candidate: ViewedCandidate): boolean => this.state.times.isInTime(candidate, work, now)
    const late = granted.filter(candidate => !isInTime(candidate))
    if (late.length === 0 || !granting.some(candidate => !late.some(({ id }) => id === candidate.id) && isInTime(candidate))) return granted
    this.context.slots.giveBack(late.map(({ view }) => view), admission, now)
    return granted.filter(candidate => !late.includes(candidate))
  }

  /** Gives back the granted slots of engines that are much slower than the chosen one. */
  private giveBackSlow (granted: readonly ViewedCandidate[], chosen: ViewedCandidate, admission: AdmissionLimits, now: number): void {
    const { times } = this.state
    if (granted.length < 2) return
    const limit = times.paceOf(chosen.view.upstream, now) * slowerFactor
    this.context.slots.giveBack(granted.flatMap(({ view }) => times.paceOf(view.upstream, now) > limit ? [view] : []), admission, now)
  }

  /** Upstreams without a limit and those for which this entry holds a permit; asks for permits of two others at random. */
  private withPermit (open: readonly UpstreamView[], now: number): readonly UpstreamView[] {
    const { limits } = this.context
    const others = open.filter(({ upstream }) => !limits.mayTake(upstream))
    for (const { upstream } of sample(others, permitRequestsPerChoice, this.random)) limits.requestPermit(upstream)
    return others.length === 0 ? open : open.filter(view => limits.mayTake(view.upstream) || this.mayUseReserve(view, now))
  }

  /** Slots that this entry may use now without asking an agent. Agents report the load of engines to every entry; that of plain upstreams is known from answers only. Permits already divide the requests to a limited upstream among the entries. */
  private freeSlotsAt (view: UpstreamView, limit: number, load: number, entries: number, now: number): number {
    if (!view.upstream.isEngine || this.context.limits.isLimited(view.upstream)) return limit - load
    return isLoadRecent(view, now) ? freeSlotsByReport(limit, view.observedLoad, entries) : freeSlotsWithoutReport(limit, view.inFlight, entries)
  }

  private mayServe (view: UpstreamView, requirements: UpstreamRequirements): boolean {
    const { upstream } = view
    if (upstream.service !== requirements.service.name || requirements.tried.has(upstream.id) || this.state.availability.isWithdrawn(view)) return false
    const region = this.context.regionOf.get(upstream.dataCentre)
    return requirements.regions === undefined || (region !== undefined && requirements.regions.includes(region))
  }

  /** Whether the rate of a cold upstream leaves room for a request. */
  private isWithinColdRate (view: UpstreamView, { service, search }: UpstreamRequirements, entries: readonly string[], now: number): boolean {
    const { context } = this
    if (view.coldUntil <= now || service.coldRequestsPerSecond <= 0) return true
    if (keepsColdRateByAgent(view, context, now)) return search !== undefined
    return this.needsColdPermit(view) || this.state.coldRate.mayTake(view.upstream.id, context.instance, entries, coldSharesOf(service, context), now)
  }

  /** Whether a request waits for the answers to its requests for permits of cold upstreams: for the next request of an entry that gets few, a permit comes too late. */
  private awaitsColdPermit (open: readonly UpstreamView[], permitted: readonly UpstreamView[], search: SlotSearch | undefined, now: number): boolean {
    if (search === undefined || permitted.length === open.length || now >= (search.nextAskAt ?? Infinity)) return false
    const { limits } = this.context
    const isAwaited = open.some(view => view.coldUntil > now && this.needsColdPermit(view) && !permitted.includes(view) && limits.expectedAt(view.upstream) === undefined)
    if (isAwaited) search.nextAskAt ??= now + permitWaitMilliseconds
    return isAwaited
  }

  /** The chosen candidate, or a cold one for which this entry holds a permit if that costs less: it is not always among the few that are compared, and the permit would be lost. */
  private preferPermit (chosen: ViewedCandidate | undefined, others: readonly ViewedCandidate[], requirements: UpstreamRequirements, now: number): ViewedCandidate | undefined {
    const held = others.find(({ view }) => view.coldUntil > now && this.needsColdPermit(view))
    return held === undefined || chosen === undefined || held === chosen ? chosen : this.chooseFrom([held, chosen], requirements, now)
  }

  /** Whether a cold upstream gets requests with permits, and the entry that grants them answers this one. */
  private needsColdPermit ({ upstream }: UpstreamView): boolean {
    return !upstream.isEngine && this.context.isAdaptive(upstream.service) && !this.context.limits.isUnanswered(upstream)
  }

  /** Whether a cold upstream gets a request without a permit, within the reserve of entries that are not answered. */
  private mayUseReserve (view: UpstreamView, now: number): boolean {
    const isNamed = this.context.limits.perSecond(view.upstream) !== undefined
    return view.coldUntil > now && !isNamed && !view.upstream.isEngine && this.context.isAdaptive(view.upstream.service) && !this.needsColdPermit(view)
  }

  /** Upstreams whose start or recovery leaves room for a request; all of them where every one starts or recovers, as there is no better one then. */
  private withinPace (open: readonly UpstreamView[], { search }: UpstreamRequirements, now: number): readonly UpstreamView[] {
    const { paces } = this.state
    if (paces.isEmpty || open.every(view => paces.allowanceOf(view) === undefined)) return open
    const isGranted = (view: UpstreamView): boolean => search !== undefined && this.isGranting(view, now)
    const allowed = open.filter(view => isGranted(view) || view.inFlight < (paces.ownAllowance(view) ?? Infinity))
    return open.every(view => paces.allowanceOf(view) !== undefined) ? open : allowed
  }

  /** Candidates without the allowances of starts and recoveries where every one starts or recovers. */
  private withoutPaceOfAll (candidates: readonly ViewedCandidate[]): readonly ViewedCandidate[] {
    if (this.state.paces.isEmpty || candidates.some(({ startAllowance }) => startAllowance === undefined)) return candidates
    return candidates.map(candidate => ({ ...candidate, startAllowance: undefined }))
  }

  /** Whether the slots of an upstream are granted by its agent and no named limit divides its requests. */
  private isGranting (view: UpstreamView, now: number): boolean {
    return this.context.slots.isGranting(view, now) && !this.context.limits.isLimited(view.upstream)
  }

  private candidateOf (view: UpstreamView, { admission, service, work }: UpstreamRequirements, entries: number, now: number): ViewedCandidate {
    const { context } = this
    const { paces, times } = this.state
    const load = work === undefined ? estimateLoad(view, now) : times.loadOf(view, now)
    const startAllowance = paces.isEmpty ? undefined : paces.allowanceOf(view)
    const isCold = view.coldUntil > now && service.coldRequestsPerSecond > 0 && context.isAdaptive(service.name)
    return {
      startAllowance: startAllowance === undefined ? undefined : Math.floor(startAllowance),
      coldLimit: isCold ? coldGrants(coldBoundsOf(service, context)) : undefined,
      view,
      id: view.upstream.id,
      load,
      freeSlots: this.freeSlotsAt(view, concurrencyLimit(view.upstream.slots, admission), load, entries, now),
      unstarted: view.unstarted,
      isSameDataCentre: view.upstream.dataCentre === context.dataCentre,
      penalty: penaltyOf(view.health)
    }
  }
}

/** Whether the agent of a cold engine alone keeps its rate: it grants each slot and sees all requests. */
export function keepsColdRateByAgent (view: UpstreamView, { slots, limits, isAdaptive }: PoolContext, now: number): boolean {
  return view.upstream.isEngine && isAdaptive(view.upstream.service) && slots.isGranting(view, now) && !limits.isLimited(view.upstream)
}

/** Whether a request to a cold upstream counts in the rate that the entries divide. */
export function usesColdShare (view: UpstreamView, context: PoolContext, now: number): boolean {
  if (!context.isAdaptive(view.upstream.service)) return true
  return view.upstream.isEngine ? !keepsColdRateByAgent(view, context, now) : !context.limits.mayTake(view.upstream)
}

/** Bounds of the rate that the entries divide for a cold upstream; where one node grants each request, only the reserve is divided. */
export function coldSharesOf (service: Service, context: PoolContext): ColdBounds {
  const bounds = coldBoundsOf(service, context)
  return context.isAdaptive(service.name) ? coldReserve(bounds) : bounds
}

/** Bounds of the rate at which a service's cold upstreams may get requests. */
export function coldBoundsOf (service: Service, { cold }: PoolContext): ColdBounds {
  return { perSecond: service.coldRequestsPerSecond, ...cold }
}
