/** Admission to the upstream: enforces its concurrency limit, queues requests fairly before it, and counts the requests in flight. */
import PQueue from 'p-queue'
import { limitAfterLoss, coldLimit, lowerUntrackedCount, limitAfterAnswer, clampLimit, type ConcurrencyLimit, type LimitBounds } from '../../core/dispatch/concurrency-limit.js'
import { FairQueue, type FairQueueOptions } from '../../core/dispatch/fair-queue.js'
import { admitToQueue, expectedStart, queuedPerSlot, type QueuedRequest } from '../../core/dispatch/queue-admission.js'
import { createFailure, type Failure } from '../../errors.js'

/** Delay after which a refused caller should retry. */
const retryDelayMilliseconds = 500
/** Weight of the latest answer in the moving average of answer durations, 0 to 1. */
const smoothingFactor = 0.1
/** Time after which a sent request counts as running on the upstream although its answer has not started. */
const arrivalGraceMilliseconds = 250

/** What admission needs to know of a request. */
export interface AdmissionRequest extends QueuedRequest {
  /** Epoch milliseconds. */
  readonly deadline: number
  /** Digest that identifies the request when it is suspected of crashing upstreams. */
  readonly fingerprint: string
  /** Whether no other request may be in flight while it runs. */
  readonly isExclusive: boolean
}

/** A request that has left the queue. */
export class AdmittedRequest {
  /** Whether it counts against the concurrency limit. */
  isCounted = false
  /** Whether the upstream has started to answer it. */
  hasAnswerStarted = false
  /** Epoch milliseconds at which it was sent, 0 before. */
  sentAt = 0
  /** Incarnation of the upstream that it is assigned to, empty until it counts against the limit. */
  incarnation = ''
  /** Whether it took the last slot that the limit allowed. */
  atLimit = false

  constructor (readonly request: AdmissionRequest) {}
}

interface WaitingEntry { readonly request: AdmissionRequest, readonly controller: AbortController }

/** Admission to one upstream; nothing else counts the requests in flight there. */
export class Admission {
  private readonly queue = new PQueue<FairQueue, FairQueueOptions>({ queueClass: FairQueue, concurrency: 1 })
  private readonly waiting = new Map<string, WaitingEntry>()
  private readonly admitted = new Set<AdmittedRequest>()
  private limitState: ConcurrencyLimit | undefined
  private incarnation = ''
  /** Requests that may run on the upstream without being tracked here: sent by an earlier agent, or abandoned. */
  private untrackedCount = 0
  private meanDurationMilliseconds = 0
  private isExclusivelyUsed = false

  constructor (private readonly bounds: () => LimitBounds | undefined, private readonly onChange: () => void) {}

  /** Requests in flight that are allowed now; 0 while there is no configuration. */
  get limit (): number {
    return this.currentState?.limit ?? 0
  }

  get isCold (): boolean {
    return this.currentState?.cold ?? true
  }

  /** Requests in flight, including those that are not tracked here. */
  get inFlight (): number {
    return this.trackedInFlight + this.untrackedCount
  }

  get waitingCount (): number {
    return this.waiting.size
  }

  /** Requests that are queued or admitted. */
  get unfinished (): number {
    return this.waiting.size + this.admitted.size
  }

  /** Fingerprints of the requests that are assigned to an incarnation of the upstream. */
  fingerprintsOn (incarnation: string): readonly string[] {
    return [...this.admitted].filter(admitted => admitted.incarnation === incarnation).map(({ request }) => request.fingerprint)
  }

  /**
   * Runs `work` once the request is admitted, and resolves when it has ended. Resolves with a failure, without having
   * called `work`, when the request is refused, or when `signal` or its deadline ends the wait in the queue.
   */
  async run (request: AdmissionRequest, signal: AbortSignal, work: (admitted: AdmittedRequest) => Promise<void>): Promise<Failure | undefined> {
    const refusal = this.refusal(request)
    if (refusal !== undefined) return refusal
    const controller = new AbortController()
    const timer = setTimeout(() => { controller.abort(this.lateDeadline()) }, Math.max(0, request.deadline - Date.now()))
    const abortWait = (): void => { controller.abort(this.busy()) }
    signal.addEventListener('abort', abortWait, { once: true })
    // p-queue also rejects a running task when its signal aborts, so nothing may abort it once `work` has begun.
    const endWait = (): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', abortWait)
      this.waiting.delete(request.id)
    }
    this.waiting.set(request.id, { request, controller })
    if (request.isExclusive) this.isExclusivelyUsed = true
    const { id, rank, organisation, share } = request
    try {
      this.updateConcurrency()
      const task = async (): Promise<void> => {
        endWait()
        await this.runAdmitted(request, work)
      }
      await this.queue.add(task, { id, rank, organisation, share, signal: controller.signal })
      return undefined
    } catch (error) {
      if (!controller.signal.aborted) throw error
      return controller.signal.reason as Failure
    } finally {
      endWait()
      if (request.isExclusive) this.isExclusivelyUsed = false
      this.updateConcurrency()
    }
  }

  /** Counts a request against the limit; false when the limit has fallen since it was admitted. */
  tryStart (admitted: AdmittedRequest, incarnation: string): boolean {
    if (this.inFlight >= this.limit) return false
    admitted.isCounted = true
    admitted.incarnation = incarnation
    admitted.atLimit = this.inFlight >= this.limit
    this.onChange()
    return true
  }

  /** Whether the requests in flight are within the limit; the last check before a request is sent. */
  get isWithinLimit (): boolean {
    return this.inFlight <= this.limit
  }

  /** Records a complete answer, from which the limit is adapted. */
  recordAnswer (admitted: AdmittedRequest, firstByteMilliseconds: number, totalMilliseconds: number): void {
    const bounds = this.bounds()
    this.meanDurationMilliseconds += (totalMilliseconds - this.meanDurationMilliseconds) * (this.meanDurationMilliseconds === 0 ? 1 : smoothingFactor)
    if (bounds === undefined || this.currentState === undefined) return
    const atLimit = admitted.atLimit || this.waiting.size > 0 || this.inFlight >= this.limit
    this.limitState = limitAfterAnswer(this.currentState, bounds, { firstByteMilliseconds, atLimit })
    this.updateConcurrency()
  }

  /** Treats the upstream as cold after it restarted or loaded other weights; `running` is its own count of running requests. */
  resetToCold (incarnation: string, running: number): void {
    this.incarnation = incarnation
    this.untrackedCount = running
    this.recordLoss()
  }

  /** Treats the upstream as cold after it was lost, crashed or reset a connection. */
  recordLoss (): void {
    const bounds = this.bounds()
    if (bounds !== undefined) this.limitState = this.limitState === undefined ? coldLimit(bounds) : limitAfterLoss(this.limitState, bounds)
    this.updateConcurrency()
  }

  /** Counts an abandoned request that may still run on an incarnation, until the upstream's own count shows that it has ended. */
  recordAbandoned (incarnation: string): void {
    if (incarnation !== this.incarnation) return
    this.untrackedCount += 1
    this.updateConcurrency()
  }

  /** Requests that are certainly running on the upstream, to be compared with its own count. */
  certainlyRunning (): ReadonlySet<AdmittedRequest> {
    const arrivedBefore = Date.now() - arrivalGraceMilliseconds
    return new Set([...this.admitted].filter(admitted => admitted.hasAnswerStarted || (admitted.sentAt > 0 && admitted.sentAt < arrivedBefore)))
  }

  /** Lowers the count of untracked requests; `certain` is `certainlyRunning()` from before the upstream was asked for `running`. */
  reconcile (running: number, certain: ReadonlySet<AdmittedRequest>): void {
    if (this.untrackedCount === 0) return
    const stillRunning = [...certain].filter(admitted => this.admitted.has(admitted)).length
    this.untrackedCount = lowerUntrackedCount(this.untrackedCount, running, stillRunning)
    this.updateConcurrency()
  }

  /** Refuses every queued request. */
  refuseWaiting (failure: Failure): void {
    for (const { controller } of [...this.waiting.values()]) controller.abort(failure)
  }

  private get trackedInFlight (): number {
    let counted = 0
    for (const admitted of this.admitted) if (admitted.isCounted) counted += 1
    return counted
  }

  private get currentState (): ConcurrencyLimit | undefined {
    const bounds = this.bounds()
    if (bounds === undefined) return undefined
    this.limitState = clampLimit(this.limitState ?? coldLimit(bounds), bounds)
    return this.limitState
  }

  private refusal (request: AdmissionRequest): Failure | undefined {
    if (this.currentState === undefined) return createFailure('no-configuration', this.retryAt)
    if (this.isExclusivelyUsed) return this.busy()
    if (request.isExclusive) return this.unfinished + this.untrackedCount > 0 ? createFailure('suspect-waits', this.retryAt) : undefined
    const free = this.limit - this.untrackedCount - this.admitted.size
    const ahead = Math.max(0, this.waiting.size - Math.max(0, free))
    if (free <= this.waiting.size && expectedStart(Date.now(), ahead + 1, this.limit, this.meanDurationMilliseconds) >= request.deadline) return this.lateDeadline()
    const decision = admitToQueue([...this.waiting.values()].map(waiting => waiting.request), request, queuedPerSlot * this.limit)
    if (decision.kind === 'replace') this.waiting.get(decision.evictedId)?.controller.abort(createFailure('over-share', this.retryAt))
    return decision.kind === 'over-share' ? this.busy() : undefined
  }

  private async runAdmitted (request: AdmissionRequest, work: (admitted: AdmittedRequest) => Promise<void>): Promise<void> {
    const admitted = new AdmittedRequest(request)
    this.admitted.add(admitted)
    this.onChange()
    try {
      await work(admitted)
    } finally {
      this.admitted.delete(admitted)
      this.onChange()
    }
  }

  /** Sets the queue's concurrency to the limit less the untracked requests. */
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
    return createFailure('busy', this.retryAt)
  }

  private lateDeadline (): Failure {
    return createFailure('late-deadline', Math.ceil(Date.now() + Math.max(retryDelayMilliseconds, this.meanDurationMilliseconds)))
  }
}
