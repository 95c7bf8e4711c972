/**
 * Queue class for p-queue: strict priority between classes, weighted fair sharing among the organisations of a class
 * (start-time fair queueing, Goyal, Vin and Cheng 1996), and first come, first served within an organisation.
 */
import type { Queue, QueueAddOptions } from 'p-queue'
import { compareOrder } from './service-order.js'

/** Options of one queued request. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly id?: string
  /** Priority class, 0 is the most urgent. */
  readonly rank: number
  readonly organisation: string
  /** Weight of the organisation in the fair share, above 0. */
  readonly share: number
}

type Task = () => Promise<unknown>

interface QueuedTask { readonly id: string, readonly run: Task, readonly share: number }

/** Queued requests of one organisation in one priority class. */
interface Flow {
  readonly waiting: QueuedTask[]
  /** Start tag of the first queued request, in virtual time. */
  start: number
}

interface PriorityClass {
  readonly flows: Map<string, Flow>
  virtualTime: number
}

/** Queue with one priority class for each rank and one flow for each organisation in it. */
export class FairQueue implements Queue<Task, FairQueueOptions> {
  private readonly classes = new Map<number, PriorityClass>()
  private count = 0

  get size (): number {
    return this.count
  }

  enqueue (run: Task, options?: Partial<FairQueueOptions>): void {
    const { id = '', rank = 0, organisation = '', share = 1 } = options ?? {}
    const priorityClass = this.classOf(rank)
    const flow = priorityClass.flows.get(organisation) ?? { waiting: [], start: 0 }
    if (flow.waiting.length === 0) flow.start = Math.max(flow.start, priorityClass.virtualTime)
    flow.waiting.push({ id, run, share })
    priorityClass.flows.set(organisation, flow)
    this.count += 1
  }

  dequeue (): Task | undefined {
    let first: { readonly rank: number, readonly priorityClass: PriorityClass, readonly flow: Flow } | undefined
    for (const [rank, priorityClass] of this.classes) {
      for (const flow of priorityClass.flows.values()) {
        if (flow.waiting.length === 0) continue
        if (first === undefined || compareOrder({ rank, usage: flow.start }, { rank: first.rank, usage: first.flow.start }) < 0) first = { rank, priorityClass, flow }
      }
    }
    return first === undefined ? undefined : this.dequeueFrom(first.priorityClass, first.flow)
  }

  /** Tasks of a rank; p-queue counts them for `sizeBy`. */
  filter (options: Readonly<Partial<FairQueueOptions>>): Task[] {
    const flows = this.classes.get(options.rank ?? 0)?.flows.values() ?? []
    return [...flows].flatMap(flow => flow.waiting.map(({ run }) => run))
  }

  remove (id: string): void {
    for (const { flows } of this.classes.values()) {
      for (const { waiting } of flows.values()) {
        const index = waiting.findIndex(other => other.id === id)
        if (index === -1) continue
        waiting.splice(index, 1)
        this.count -= 1
        return
      }
    }
  }

  /** Throws: the priority class is fixed when a request is queued. */
  setPriority (): void {
    throw new Error('the priority class of a queued request cannot be changed')
  }

  private dequeueFrom (priorityClass: PriorityClass, first: Flow): Task | undefined {
    const next = first.waiting.shift()
    if (next === undefined) return undefined
    priorityClass.virtualTime = first.start
    first.start += 1 / next.share
    this.count -= 1
    this.removeIdleFlows(priorityClass)
    return next.run
  }

  /** Removes empty flows that are not ahead of the virtual time: a new flow would get the same start tag. */
  private removeIdleFlows (priorityClass: PriorityClass): void {
    for (const [organisation, flow] of priorityClass.flows) {
      if (flow.waiting.length === 0 && flow.start <= priorityClass.virtualTime) priorityClass.flows.delete(organisation)
    }
  }

  private classOf (rank: number): PriorityClass {
    const existing = this.classes.get(rank)
    if (existing !== undefined) return existing
    const created: PriorityClass = { flows: new Map(), virtualTime: 0 }
    this.classes.set(rank, created)
    return created
  }
}
