/**
 * Queue class for p-queue: priority classes first, and inside a class a weighted fair share among organisations
 * (start-time fair queueing, Goyal, Vin and Cheng 1996); inside an organisation first come, first served.
 */
import type { Queue, QueueAddOptions } from 'p-queue'

/** Options of one waiting request. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly id?: string
  /** 0 is the most urgent. */
  readonly rank: number
  readonly organisation: string
  /** Weight of the organisation, above 0. */
  readonly share: number
}

type Task = () => Promise<unknown>

interface QueuedTask { readonly id: string, readonly run: Task, readonly share: number }

interface Flow {
  readonly waiting: QueuedTask[]
  /** Virtual time at which the first waiting request may start. */
  start: number
}

interface PriorityClass {
  readonly flows: Map<string, Flow>
  virtualTime: number
}

/** The queue; one class of flows for each rank. */
export class FairQueue implements Queue<Task, FairQueueOptions> {
  private readonly classes = new Map<number, PriorityClass>()
  private count = 0

  get size (): number {
    return this.count
  }

  enqueue (run: Task, options?: Partial<FairQueueOptions>): void {
    const { id = '', rank = 0, organisation = '', share = 1 } = options ?? {}
    const ranked = this.classOf(rank)
    const flow = ranked.flows.get(organisation) ?? { waiting: [], start: 0 }
    if (flow.waiting.length === 0) flow.start = Math.max(flow.start, ranked.virtualTime)
    flow.waiting.push({ id, run, share })
    ranked.flows.set(organisation, flow)
    this.count += 1
  }

  dequeue (): Task | undefined {
    for (const rank of [...this.classes.keys()].sort((left, right) => left - right)) {
      const run = this.dequeueFrom(this.classOf(rank))
      if (run !== undefined) return run
    }
    return undefined
  }

  /** Runs of a rank, for p-queue's counting. */
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

  /** Priorities are classes here and stay as they were given. */
  setPriority (): void {
    throw new Error('a waiting request keeps its priority class')
  }

  private dequeueFrom (ranked: PriorityClass): Task | undefined {
    let first: Flow | undefined
    for (const flow of ranked.flows.values()) {
      if (flow.waiting.length > 0 && (first === undefined || flow.start < first.start)) first = flow
    }
    const next = first?.waiting.shift()
    if (first === undefined || next === undefined) return undefined
    ranked.virtualTime = first.start
    first.start += 1 / next.share
    this.count -= 1
    this.removeIdleFlows(ranked)
    return next.run
  }

  /** An idle flow behind the virtual time would start at the virtual time anyway. */
  private removeIdleFlows (ranked: PriorityClass): void {
    for (const [organisation, flow] of ranked.flows) {
      if (flow.waiting.length === 0 && flow.start <= ranked.virtualTime) ranked.flows.delete(organisation)
    }
  }

  private classOf (rank: number): PriorityClass {
    const known = this.classes.get(rank)
    if (known !== undefined) return known
    const made: PriorityClass = { flows: new Map(), virtualTime: 0 }
    this.classes.set(rank, made)
    return made
  }
}
