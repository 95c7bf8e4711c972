/** Lets requests to the upstream: the limit that it bears, a fair waiting room before it, and a count of what runs. */
import PQueue from 'p-queue'
import { limitAfterLoss, coldLimit, lowerUntrackedCount, limitAfterAnswer, clampLimit, type ConcurrencyLimit, type LimitBounds } from '../../core/concurrency-limit.js'
import { FairQueue, type FairQueueOptions } from '../../core/fair-queue.js'
import { admitToQueue, expectedStart, queuedPerSlot, type QueuedRequest } from '../../core/queue-admission.js'
import { fail, type Failure } from '../../errors.js'

const retryMilliseconds = 500
const meanWeight = 0.1
const arrivalMilliseconds = 250

/** What admission needs to know of a request. */
export interface Ticket extends QueuedRequest {
  /** Epoch milliseconds. */
  readonly deadline: number
  readonly fingerprint: string
  /** Whether nothing else may be in flight while it runs. */
  readonly alone: boolean
}

/** A request that has a place at the upstream. */
export class Place {
  /** Whether the place counts against the limit. */
  isTaken = false
  /** Whether its answer has begun. */
  isAnswering = false
  /** Epoch milliseconds at which it was sent, 0 before. */
  sentAt = 0
  /** Incarnation of the upstream that runs it, empty before it was sent. */
  incarnation = ''
  /** Whether the limit held the load down while it ran. */
  atLimit = false

  constructor (readonly ticket: Ticket) {}
}

interface Waiting { readonly ticket: Ticket, readonly controller: AbortController }

/** The one place that counts requests in flight at the upstream. */
export class Admission {
  private readonly queue = new PQueue<FairQueue, FairQueueOptions>({ queueClass: FairQueue, concurrency: 1 })
  private readonly waiting = new Map<string, Waiting>()
  private readonly places = new Set<Place>()
  private bearing: ConcurrencyLimit | undefined
  private incarnation = ''
  /** Requests that run on the upstream and have no place here. */
  private foreign = 0
  private meanMilliseconds = 0
  private aloneRuns = false

  constructor (private readonly bounds: () => LimitBounds | undefined, private readonly onChange: () => void) {}

  /** Requests in flight that are allowed now. */
  get limit (): number {
    return this.current?.limit ?? 0
  }

  get isCold (): boolean {
    return this.current?.cold ?? true
  }

  /** Requests in flight, those of earlier agents included. */
  get inFlight (): number {
    return this.ownInFlight + this.foreign
  }

  get waitingCount (): number {
    return this.waiting.size
  }

  /** Requests that wait or have a place. */
  get unfinished (): number {
    return this.waiting.size + this.places.size
  }

  /** Fingerprints that run on an incarnation. */
  runningOn (incarnation: string): readonly string[] {
    return [...this.places].filter(place => place.incarnation === incarnation).map(({ ticket }) => ticket.fingerprint)
  }

  /** Runs `work` once the request has a place; resolves with a failure when it got none. `signal` aborts the wait. */
  async run (ticket: Ticket, signal: AbortSignal, work: (place: Place) => Promise<void>): Promise<Failure | undefined> {
    const refusal = this.refusal(ticket)
    if (refusal !== undefined) return refusal
    const controller = new AbortController()
    const timer = setTimeout(() => { controller.abort(this.lateDeadline()) }, Math.max(0, ticket.deadline - Date.now()))
    const leave = (): void => { controller.abort(this.busy()) }
    signal.addEventListener('abort', leave, { once: true })
    this.waiting.set(ticket.id, { ticket, controller })
    if (ticket.alone) this.aloneRuns = true
    const { id, rank, organisation, share } = ticket
    try {
      this.adjust()
      await this.queue.add(async () => { await this.occupy(ticket, work) }, { id, rank, organisation, share, signal: controller.signal })
      return undefined
    } catch (error) {
      if (!controller.signal.aborted) throw error
      return controller.signal.reason as Failure
    } finally {
      clearTimeout(timer)
      signal.removeEventListener('abort', leave)
      this.waiting.delete(ticket.id)
      if (ticket.alone) this.aloneRuns = false
      this.adjust()
    }
  }

  /** Counts a place against the limit; false when the limit has fallen meanwhile. */
  begin (place: Place, incarnation: string): boolean {
    if (this.inFlight >= this.limit) return false
    place.isTaken = true
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
  noteAnswer (place: Place, firstByteMilliseconds: number, wholeMilliseconds: number): void {
    const bounds = this.bounds()
    this.meanMilliseconds += (wholeMilliseconds - this.meanMilliseconds) * (this.meanMilliseconds === 0 ? 1 : meanWeight)
    if (bounds === undefined || this.current === undefined) return
    const atLimit = place.atLimit || this.waiting.size > 0 || this.inFlight >= this.limit
    this.bearing = limitAfterAnswer(this.current, bounds, { firstByteMilliseconds, atLimit })
    this.adjust()
  }

  /** The upstream restarted: cold at once; `running` is what it counts itself. */
  restart (incarnation: string, running: number): void {
    this.incarnation = incarnation
    this.foreign = running
    this.lose()
  }

  /** The upstream was lost, crashed or reset a connection: cold at once. */
  lose (): void {
    const bounds = this.bounds()
    if (bounds !== undefined) this.bearing = this.bearing === undefined ? coldLimit(bounds) : limitAfterLoss(this.bearing, bounds)
    this.adjust()
  }

  /** A request that was given up may still run on an incarnation; it counts until the upstream says otherwise. */
  orphan (incarnation: string): void {
    if (incarnation !== this.incarnation) return
    this.foreign += 1
    this.adjust()
  }

  /** Places that surely run on the upstream now, to compare with what it counts itself. */
  surePlaces (): ReadonlySet<Place> {
    const arrivedBefore = Date.now() - arrivalMilliseconds
    return new Set([...this.places].filter(place => place.isAnswering || (place.sentAt > 0 && place.sentAt < arrivedBefore)))
  }

  /** Lowers the count of earlier agents' requests; `sure` was taken before the upstream was asked. */
  compare (running: number, sure: ReadonlySet<Place>): void {
    if (this.foreign === 0) return
    const still = [...sure].filter(place => this.places.has(place)).length
    this.foreign = lowerUntrackedCount(this.foreign, running, still)
    this.adjust()
  }

  /** Refuses everything that waits. */
  refuseWaiting (failure: Failure): void {
    for (const { controller } of [...this.waiting.values()]) controller.abort(failure)
  }

  private get ownInFlight (): number {
    let taken = 0
    for (const place of this.places) if (place.isTaken) taken += 1
    return taken
  }

  private get current (): ConcurrencyLimit | undefined {
    const bounds = this.bounds()
    if (bounds === undefined) return undefined
    this.bearing = clampLimit(this.bearing ?? coldLimit(bounds), bounds)
    return this.bearing
  }

  private refusal (ticket: Ticket): Failure | undefined {
    if (this.current === undefined) return fail('no-configuration', this.soon)
    if (this.aloneRuns) return this.busy()
    if (ticket.alone) return this.unfinished + this.foreign > 0 ? fail('suspect-waits', this.soon) : undefined
    const free = this.limit - this.foreign - this.places.size
    const ahead = Math.max(0, this.waiting.size - Math.max(0, free))
    if (free <= this.waiting.size && expectedStart(Date.now(), ahead + 1, this.limit, this.meanMilliseconds) >= ticket.deadline) return this.lateDeadline()
    const verdict = admitToQueue([...this.waiting.values()].map(waiting => waiting.ticket), ticket, queuedPerSlot * this.limit)
    if (verdict.kind === 'replace') this.waiting.get(verdict.evictedId)?.controller.abort(fail('over-share', this.soon))
    return verdict.kind === 'over-share' ? this.busy() : undefined
  }

  private async occupy (ticket: Ticket, work: (place: Place) => Promise<void>): Promise<void> {
    this.waiting.delete(ticket.id)
    const place = new Place(ticket)
    this.places.add(place)
    this.onChange()
    try {
      await work(place)
    } finally {
      this.places.delete(place)
      this.onChange()
    }
  }

  /** Sets the queue's concurrency to what the upstream bears beside earlier agents' requests. */
  private adjust (): void {
    const free = this.limit - this.foreign
    if (free < 1) {
      this.queue.pause()
    } else {
      if (this.queue.concurrency !== free) this.queue.concurrency = free
      this.queue.start()
    }
    this.onChange()
  }

  private get soon (): number {
    return Date.now() + retryMilliseconds
  }

  private busy (): Failure {
    return fail('busy', this.soon)
  }

  private lateDeadline (): Failure {
    return fail('late-deadline', Math.ceil(Date.now() + Math.max(retryMilliseconds, this.meanMilliseconds)))
  }
}
