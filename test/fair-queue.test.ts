/** Tests of the fair queue against a naive version, and of the admission to it. */
import fc from 'fast-check'
import { test } from 'tap'
import { FairQueue } from '../src/core/dispatch/fair-queue.js'
import { admitToQueue, expectedStart, type QueuedRequest } from '../src/core/dispatch/queue-admission.js'

const seed = 20_261
const runs = 2000
const shares: Readonly<Record<string, number>> = { large: 4, middle: 2, small: 1 }
const organisation = fc.constantFrom('large', 'middle', 'small')
const step = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('add' as const), organisation, rank: fc.nat(1) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('take' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove' as const), place: fc.nat(9) }) }
)
type Step = { readonly kind: 'add', readonly organisation: string, readonly rank: number } | { readonly kind: 'take' } | { readonly kind: 'remove', readonly place: number }

interface NaiveItem { readonly id: string, readonly organisation: string, readonly rank: number }

/** Naive version: one flat list, with a start tag for each organisation of each rank. */
class NaiveQueue {
  private items: readonly NaiveItem[] = []
  private readonly virtualTimes = new Map<number, number>()
  private readonly startTags = new Map<string, number>()

  add (item: NaiveItem): void {
    const name = `${item.rank}/${item.organisation}`
    const isFirst = !this.items.some(other => `${other.rank}/${other.organisation}` === name)
    if (isFirst) this.startTags.set(name, Math.max(this.startTags.get(name) ?? 0, this.virtualTimes.get(item.rank) ?? 0))
    this.items = [...this.items, item]
  }

  take (): string | undefined {
    const rank = Math.min(...this.items.map(item => item.rank))
    const names = [...this.startTags.keys()].filter(name => this.items.some(item => `${item.rank}/${item.organisation}` === name && item.rank === rank))
    const [best] = names.sort((left, right) => (this.startTags.get(left) ?? 0) - (this.startTags.get(right) ?? 0))
    const item = this.items.find(other => `${other.rank}/${other.organisation}` === best)
    if (best === undefined || item === undefined) return undefined
    this.virtualTimes.set(rank, this.startTags.get(best) ?? 0)
    this.startTags.set(best, (this.startTags.get(best) ?? 0) + 1 / (shares[item.organisation] ?? 1))
    this.remove(item.id)
    return item.id
  }

  remove (id: string): void {
    this.items = this.items.filter(item => item.id !== id)
  }

  get ids (): readonly string[] {
    return this.items.map(({ id }) => id)
  }

  startOf (id: string): number {
    const item = this.items.find(other => other.id === id)
    return item === undefined ? Infinity : this.startTags.get(`${item.rank}/${item.organisation}`) ?? Infinity
  }
}

/** Whether both queues return the same requests and sizes for the same steps. */
function isSameOrder (steps: readonly Step[]): boolean {
  const queue = new FairQueue()
  const naive = new NaiveQueue()
  const taken: string[] = []
  for (const [index, current] of steps.entries()) {
    if (current.kind === 'add') {
      const item = { id: String(index), organisation: current.organisation, rank: current.rank }
      naive.add(item)
      queue.enqueue(async () => { taken.push(item.id) }, { ...item, share: shares[item.organisation] ?? 1 })
    } else if (current.kind === 'remove') {
      const id = naive.ids[current.place]
      if (id !== undefined) {
        naive.remove(id)
        queue.remove(id)
      }
    } else {
      const expected = naive.take()
      queue.dequeue()?.().catch(() => {})
      if (expected !== undefined && taken.at(-1) !== expected) return false
    }
    if (queue.size !== naive.ids.length) return false
  }
  return true
}

test('the fair queue serves in the order of the naive version', async t => {
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), isSameOrder), { seed, numRuns: runs })
  t.pass(`${runs} runs agree, seed ${seed}`)
})

test('an organisation with many queued requests does not reduce the shares of others', async t => {
  const queue = new FairQueue()
  const served: string[] = []
  const add = (name: string, count: number): void => {
    for (let index = 0; index < count; index += 1) queue.enqueue(async () => { served.push(name) }, { id: `${name} ${index}`, organisation: name, share: shares[name] ?? 1, rank: 1 })
  }
  add('large', 200)
  add('small', 20)
  for (let index = 0; index < 50; index += 1) await queue.dequeue()?.()
  t.equal(served.filter(name => name === 'small').length, 10)
})

const request = (id: string, organisationName: string, rank = 1): QueuedRequest => ({ id, organisation: organisationName, rank, share: shares[organisationName] ?? 1 })
const admissions = [
  { name: 'a queue below its capacity', waiting: [request('1', 'large')], incoming: request('2', 'large'), decision: { kind: 'enter' } },
  { name: 'queue at capacity, request of the same organisation', waiting: [request('1', 'small'), request('2', 'small')], incoming: request('3', 'small'), decision: { kind: 'over-share' } },
  { name: 'queue at capacity, organisation below its share', waiting: [request('1', 'small'), request('2', 'small')], incoming: request('3', 'large'), decision: { kind: 'replace', evictedId: '2' } },
  { name: 'queue at capacity, more urgent request', waiting: [request('1', 'small'), request('2', 'large')], incoming: request('3', 'small', 0), decision: { kind: 'replace', evictedId: '1' } },
  { name: 'queue at capacity, less urgent request', waiting: [request('1', 'small'), request('2', 'small')], incoming: request('3', 'large', 2), decision: { kind: 'over-share' } }
] as const

for (const { name, waiting, incoming, decision } of admissions) {
  test(`queue admission: ${name}`, async t => { t.same(admitToQueue(waiting, incoming, 2), decision) })
}

const starts = [
  { ahead: 0, limit: 2, mean: 100, start: 1000 },
  { ahead: 5, limit: 2, mean: 100, start: 1200 },
  { ahead: 5, limit: 0, mean: 100, start: 1500 }
] as const

for (const { ahead, limit, mean, start } of starts) {
  test(`expected start behind ${ahead} at limit ${limit}`, async t => { t.equal(expectedStart(1000, ahead, limit, mean), start) })
}
