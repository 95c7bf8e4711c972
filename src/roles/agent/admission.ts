/** Lets requests to the upstream: the limit that it bears, a fair waiting room before it, and a count of what runs. */
import PQueue from 'p-queue'
import { limitAfterLoss, coldLimit, lowerUntrackedCount, limitAfterAnswer, clampLimit, type ConcurrencyLimit, type LimitBounds } from '../../core/concurrency-limit.js'
import { FairQueue, type FairQueueOptions } from '../../core/fair-queue.js'
import { admitToQueue, expectedStart, queuedPerSlot, type QueuedRequest } from '../../core/queue-admission.js'
import { fail, type Failure } from '../../errors.js'

const retryDelayMilliseconds = 500
const smoothingFactor = 0.1
const arrivalGraceMilliseconds = 250

/** What admission needs to know of a request. */
export interface AdmissionRequest extends QueuedRequest {
  /** Epoch milliseconds. */
  readonly deadline: number
  readonly fingerprint: string
  /** Whether nothing else may be in flight while it runs. */
  readonly isExclusive: boolean
}

/** A request that has a place at the upstream. */
export class AdmittedRequest {
  /** Whether the place counts against the limit. */
  isCounted = false
  /** Whether its answer has begun. */
  hasAnswerStarted = false
  /** Epoch milliseconds at which it was sent, 0 before. */
  sentAt = 0
  /** Incarnation of the upstream that runs it, empty before it was sent. */
  incarnation = ''
  /** Whether the limit held the load down while it ran. */
  atLimit = false

  constructor (readonly request: AdmissionRequest) {}
}

interface WaitingEntry { readonly request: AdmissionRequest, readonly controller: AbortController }

/** The one place that counts requests in flight at the upstream. */
export class Admission {
  private readonly queue = new PQueue<FairQueue, FairQueueOptions>({ queueClass: FairQueue, concurrency: 1 })
  private readonly waiting = new Map<string, WaitingEntry>()
  private readonly admitted = new Set<AdmittedRequest>()
  private limitState: ConcurrencyLimit | undefined
  private incarnation = ''
  /** Requests that run on the upstream and have no place here. */
  private untrackedCount = 0
  private meanDurationMilliseconds = 0
  private isExclusivelyUsed = false

  constructor (private readonly bounds: () => LimitBounds | undefined, private readonly onChange: () => void) {}

  /** Requests in flight that are allowed now. */
  get limit (): number {
    return this.currentState?.limit ?? 0
  }

  get isCold (): boolean {
    return this.currentState?.cold ?? true
  }

  /** Requests in flight, those of earlier agents included. */
  get inFlight (): number {
    return this.trackedInFlight + this.untrackedCount
  }

  get waitingCount (): number {
    return this.waiting.size
  }

  /** Requests that wait or have a place. */
  get unfinished (): number {
    return this.waiting.size + this.admitted.size
  }

  /** Fingerprints that run on an incarnation. */
  fingerprintsOn (incarnation: string): readonly string[] {
    return [...this.admitted].filter(place => place.incarnation === incarnation).map(({ request: ticket }) => ticket.fingerprint)
  }

  /** Runs `work` once the request has a place; resolves with a failure when it got none. `signal` aborts the wait. */
  async run (ticket: AdmissionRequest, signal: AbortSignal, work: (place: AdmittedRequest) => Promise<void>): Promise<Failure | undefined> {
    const refusal = this.refusal(ticket)
    if (refusal !== undefined) return refusal
    const controller = new AbortController()
    const timer = setTimeout(() => { controller.abort(this.lateDeadline()) }, Math.max(0, ticket.deadline - Date.now()))
    const leave = (): void => { controller.abort(this.busy()) }
    signal.addEventListener('abort', leave, { once: true })
    this.waiting.set(ticket.id, { request: ticket, controller })
    if (ticket.isExclusive) this.isExclusivelyUsed = true
    const { id, rank, organisation, share } = ticket
    try {
      this.updateConcurrency()
      await this.queue.add(async () => { await this.runAdmitted(ticket, work) }, { id, rank, organisation, share, signal: controller.signal })
      return undefined
    } catch (error) {
      if (!controller.signal.aborted) throw error
      return controller.signal.reason as Failure
    } finally {
      clearTimeout(timer)
      signal.removeEventListener('abort', leave)
      this.waiting.delete(ticket.id)
      if (ticket.isExclusive) this.isExclusivelyUsed = false
      this.updateConcurrency()
    }
  }

  /** Counts a place against the limit; false when the limit has fallen meanwhile. */
  tryStart (place: AdmittedRequest, incarnation: string): boolean {
    if (this.inFlight >= this.limit) return false
    place.isCounted = true
    place.incarnation = incarnation
    place.atLimit = this.inFlight >= this.limit
    this.onChange()
    return true
  }

  /** Whether what is counted stays within the limit; asked last before a request is sent. */
  get isWithinLimit (): boolean {
    return this.inFlight <= this.limit
  }

  /** A whole answer came. */
  recordAnswer (place: AdmittedRequest, firstByteMilliseconds: number, wholeMilliseconds: number): void {
    const bounds = this.bounds()
    this.meanDurationMilliseconds += (wholeMilliseconds - this.meanDurationMilliseconds) * (this.meanDurationMilliseconds === 0 ? 1 : smoothingFactor)
    if (bounds === undefined || this.currentState === undefined) return
    const atLimit = place.atLimit || this.waiting.size > 0 || this.inFlight >= this.limit
    this.limitState = limitAfterAnswer(this.currentState, bounds, { firstByteMilliseconds, atLimit })
    this.updateConcurrency()
  }

  /** The upstream restarted: cold at once; `running` is what it counts itself. */
  resetToCold (incarnation: string, running: number): void {
    this.incarnation = incarnation
    this.untrackedCount = running
    this.recordLoss()
  }

  /** The upstream was lost, crashed or reset a connection: cold at once. */
  recordLoss (): void {
    const bounds = this.bounds()
    if (bounds !== undefined) this.limitState = this.limitState === undefined ? coldLimit(bounds) : limitAfterLoss(this.limitState, bounds)
    this.updateConcurrency()
  }

  /** A request that was given up may still run on an incarnation; it counts until the upstream says otherwise. */
  recordAbandoned (incarnation: string): void {
    if (incarnation !== this.incarnation) return
    this.untrackedCount += 1
    this.updateConcurrency()
  }

  /** Places that surely run on the upstream now, to compare with what it counts itself. */
  certainlyRunning (): ReadonlySet<AdmittedRequest> {
    const arrivedBefore = Date.now() - arrivalGraceMilliseconds
    return new Set([...this.admitted].filter(place => place.hasAnswerStarted || (place.sentAt > 0 && place.sentAt < arrivedBefore)))
  }

  /** Lowers the count of earlier agents' requests; `sure` was taken before the upstream was asked. */
  reconcile (running: number, sure: ReadonlySet<AdmittedRequest>): void {
    if (this.untrackedCount === 0) return
    const still = [...sure].filter(place => this.admitted.has(place)).length
    this.untrackedCount = lowerUntrackedCount(this.untrackedCount, running, still)
    this.updateConcurrency()
  }

  /** Refuses everything that waits. */
  refuseWaiting (failure: Failure): void {
    for (const { controller } of [...this.waiting.values()]) controller.abort(failure)
  }

  private get trackedInFlight (): number {
    let taken = 0
    for (const place of this.admitted) if (place.isCounted) taken += 1
    return taken
  }

  private get currentState (): ConcurrencyLimit | undefined {
    const bounds = this.bounds()
    if (bounds === undefined) return undefined
    this.limitState = clampLimit(this.limitState ?? coldLimit(bounds), bounds)
    return this.limitState
  }

  private refusal (ticket: AdmissionRequest): Failure | undefined {
    if (this.currentState === undefined) return fail('no-configuration', this.retryAt)
    if (this.isExclusivelyUsed) return this.busy()
    if (ticket.isExclusive) return this.unfinished + this.untrackedCount > 0 ? fail('suspect-waits', this.retryAt) : undefined
    const free = this.limit - this.untrackedCount - this.admitted.size
    const ahead = Math.max(0, this.waiting.size - Math.max(0, free))
    if (free <= this.waiting.size && expectedStart(Date.now(), ahead + 1, this.limit, this.meanDurationMilliseconds) >= ticket.deadline) return this.lateDeadline()
    const verdict = admitToQueue([...this.waiting.values()].map(waiting => waiting.request), ticket, queuedPerSlot * this.limit)
    if (verdict.kind === 'replace') this.waiting.get(verdict.evictedId)?.controller.abort(fail('over-share', this.retryAt))
    return verdict.kind === 'over-share' ? this.busy() : undefined
  }

  private async runAdmitted (ticket: AdmissionRequest, work: (place: AdmittedRequest) => Promise<void>): Promise<void> {
    this.waiting.delete(ticket.id)
    const place = new AdmittedRequest(ticket)
    this.admitted.add(place)
    this.onChange()
    try {
      await work(place)
    } finally {
      this.admitted.delete(place)
      this.onChange()
    }
  }

  /** Sets the queue's concurrency to what the upstream bears beside earlier agents' requests. */
  private updateConcurrency (): void {
    const free = this.limit - this.untrackedCount
    if (free < 1) {
      this.queue.pause()
    } else {
      if (this.queue.concurrency !== free) this.queue.concurrency = free
      this.queue.start()
    }
    this.onChange()
  }

  private get retryAt (): number {
    return Date.now() + retryDelayMilliseconds
  }

  private busy (): Failure {
    return fail('busy', this.retryAt)
  }

  private lateDeadline (): Failure {
    return fail('late-deadline', Math.ceil(Date.now() + Math.max(retryDelayMilliseconds, this.meanDurationMilliseconds)))
  }
}
