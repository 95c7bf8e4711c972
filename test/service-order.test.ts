/** One order of service: ranks, shares, guaranteed minimums, and the slots that an agent grants in that order. */
import { test } from 'tap'
import { admissionFor } from '../src/core/dispatch/admission.js'
import { basicRank, decodeOrder, encodeOrder, ServiceRanks } from '../src/core/dispatch/rank.js'
import { orderByPlace, ServiceOrder, type OrderedRequest } from '../src/core/dispatch/service-order.js'
import { SlotLedger } from '../src/core/dispatch/slot-ledger.js'
import { replayRoute } from './fakes/engine-replay.js'
import { replayEngine } from './fakes/replay-engine.js'

const now = 10_000
const limit = 8
const target = (service: string): readonly { readonly service: string, readonly weight: number }[] => [{ service, weight: 1 }]
const routes = [2, 0, 5].map(priority => ({ ...replayRoute, priority, targets: target('engines') }))
const organisations = [0, 1].map(priority => ({ name: `p${priority}`, keys: [], regions: [], priority }))

function request (fields: Partial<OrderedRequest> = {}): OrderedRequest {
  return { rank: 1, organisation: 'a', share: 1, work: 100, isRetry: false, deadline: now + 6000, ...fields }
}

/** Guards against an organisation's priority that does not outweigh the route's, and against ranks beyond 9. */
const rankCases = [
  { name: 'most urgent', route: 0, organisation: 0, rank: 0 },
  { name: 'route in between', route: 2, organisation: 0, rank: 1 },
  { name: 'least urgent route of the urgent organisation', route: 5, organisation: 0, rank: 2 },
  { name: 'urgent route of the other organisation', route: 0, organisation: 1, rank: 3 },
  { name: 'least urgent', route: 5, organisation: 1, rank: 5 },
  { name: 'organisation without a priority', route: 2, organisation: undefined, rank: 1 }
] as const
for (const { name, route, organisation, rank } of rankCases) {
  test(`rank: ${name}`, async t => {
    t.equal(new ServiceRanks({ routes, organisations }).of('engines', { priority: route }, { priority: organisation }), rank)
  })
}

test('rank: twenty combinations share the ten ranks in their order', async t => {
  const many = new ServiceRanks({ routes: Array.from({ length: 10 }, (_, priority) => ({ ...replayRoute, priority, targets: target('engines') })), organisations })
  const ranks = [0, 1].flatMap(priority => Array.from({ length: 10 }, (_, route) => many.of('engines', { priority: route }, { priority })))
  t.same(ranks, [...ranks].sort((left, right) => left - right))
  t.equal(ranks.at(-1), 9)
})

/** Guards against a changed rank in a service that is not ranked: the expected figures are those before the order of service. */
for (const [route, organisation, isLate, rank] of [[1, undefined, false, 1], [1, 4, false, 4], [1, undefined, true, 4], [8, undefined, true, 9], [5, 0, true, 3]] as const) {
  test(`rank: not ranked, route ${route}, organisation ${String(organisation)}, late ${String(isLate)}`, async t => {
    t.equal(basicRank({ priority: route }, organisation === undefined ? undefined : { priority: organisation }, isLate), rank)
  })
}

/** Guards against figures of other nodes that would break the order. */
const invalid = [{ rank: -1 }, { rank: 1.5 }, { rank: 10 }, { share: 0 }, { share: Number.NaN }, { share: 1e9 }, { work: -1 }, { work: Infinity }] as const
for (const fields of invalid) {
  test(`order in a message: ${JSON.stringify(fields)} counts as absent`, async t => {
    t.equal(decodeOrder({ ...encodeOrder(request(), now), ...fields }, now), undefined)
  })
}

test('order in a message: what is sent is received', async t => {
  t.same(decodeOrder(encodeOrder(request({ isRetry: true }), now), now + 5), request({ isRetry: true, deadline: now + 6005 }))
  t.equal(decodeOrder(undefined, now), undefined)
})

/** Each case guards against one key of the order that is ignored, or that outweighs an earlier one. */
const orderCases: readonly { readonly name: string, readonly first: Partial<OrderedRequest>, readonly second: Partial<OrderedRequest>, readonly play?: (order: ServiceOrder) => void }[] = [
  { name: 'rank before use', first: { rank: 0 }, second: { organisation: 'b', rank: 1 }, play: order => { order.recordGranted(request(), now) } },
  { name: 'use before a refusal', first: {}, second: { organisation: 'b', isRetry: true }, play: order => { order.recordGranted(request({ organisation: 'b' }), now) } },
  { name: 'work counts, not requests', first: {}, second: { organisation: 'b' }, play: order => { order.recordGranted(request(), now); order.recordGranted(request(), now); order.recordGranted(request({ organisation: 'b', work: 900 }), now) } },
  { name: 'use by share', first: { share: 4 }, second: { organisation: 'b' }, play: order => { order.recordAsked(request({ share: 4 }), now); order.recordGranted(request({ share: 4, work: 300 }), now); order.recordGranted(request({ organisation: 'b' }), now) } },
  { name: 'a grant that is given back counts no longer', first: {}, second: { organisation: 'b' }, play: order => { order.recordGranted(request(), now); order.recordGranted(request(), now, -1); order.recordGranted(request({ organisation: 'b', work: 1 }), now) } },
  { name: 'use is forgotten', first: {}, second: { organisation: 'b' }, play: order => { order.recordGranted(request({ work: 900 }), now - 10_000); order.recordGranted(request({ organisation: 'b' }), now) } },
  { name: 'a refusal before the deadline', first: { isRetry: true, deadline: now + 9000 }, second: {} },
  { name: 'the earliest deadline', first: { deadline: now + 100 }, second: {} },
  { name: 'a minimum for each organisation', first: { organisation: 'b', rank: 5 }, second: { rank: 0 }, play: order => { serve(order, request({ rank: 0 }), 20, 20); serve(order, request({ organisation: 'b', rank: 5 }), 20, 0) } },
  { name: 'a minimum for each kind', first: { rank: 5 }, second: { rank: 0 }, play: order => { serve(order, request({ rank: 0 }), 100, 100); serve(order, request({ rank: 5 }), 20, 1) } }
]
for (const { name, first, second, play } of orderCases) {
  test(`service order: ${name}`, async t => {
    const order = new ServiceOrder()
    play?.(order)
    const requests = [request(second), request(first)]
    t.equal(orderByPlace(requests, item => item, order, now)[0], requests[1])
  })
}

function serve (order: ServiceOrder, item: OrderedRequest, asked: number, granted: number): void {
  for (let index = 0; index < asked; index += 1) order.recordAsked(item, now)
  for (let index = 0; index < granted; index += 1) order.recordGranted(item, now)
}

/** Guards against slots that go to whoever asks first after one is free. */
test('slots: one that becomes free goes to the most urgent of the held requests, the others are denied in time', async t => {
  const ledger = new SlotLedger()
  ledger.recordCount(limit, now)
  t.same(ledger.compete('late', limit, now, request({ rank: 5 })), [])
  t.same(ledger.compete('urgent', limit, now + 1, request({ rank: 0 })), [])
  t.same(ledger.compete('middle', limit, now + 2, request({ rank: 3 })), [])
  ledger.recordCount(limit - 1, now + 10)
  t.same(ledger.settle(now + 10), [{ key: 'urgent', load: limit, isGranted: true }])
  t.same(ledger.settle(now + 21).map(({ key, isGranted }) => [key, isGranted]), [['late', false]])
  t.same(ledger.settle(now + 22).map(({ key, isGranted }) => [key, isGranted]), [['middle', false]])
  t.notOk(ledger.hasHeld)
})

test('slots: a free one is kept from a less urgent request while more urgent ones were denied, but not for long', async t => {
  const ledger = new SlotLedger()
  ledger.recordCount(limit, now)
  ledger.compete('urgent', limit, now, request({ rank: 0 }))
  ledger.settle(now + 20)
  ledger.recordCount(limit - 1, now + 21)
  t.same(ledger.compete('late', limit, now + 21, request({ rank: 5 })), [])
  t.same(ledger.compete('urgent again', limit, now + 22, request({ rank: 0 })), [{ key: 'urgent again', load: limit, isGranted: true }])
  ledger.recordCount(limit - 2, now + 80)
  t.same(ledger.compete('late again', limit, now + 80, request({ rank: 5 })).filter(({ isGranted }) => isGranted).length, 1)
})

test('slots: without contention each request is answered at once', async t => {
  const ledger = new SlotLedger()
  ledger.recordCount(0, now)
  for (let index = 0; index < limit; index += 1) t.match(ledger.compete(String(index), limit, now, request({ rank: index })), [{ isGranted: true }])
})

/** Guards against slots that fewer of an organisation's requests use after those of another kind have a longer goal. */
test('slots: a less urgent request uses no place that a more urgent one may not', async t => {
  const ledger = new SlotLedger()
  ledger.recordCount(limit, now)
  ledger.compete('urgent', limit, now, request({ rank: 0 }))
  ledger.settle(now + 20)
  ledger.recordCount(limit, now + 60)
  t.same(ledger.compete('late', limit + 3, now + 60, request({ rank: 5 })), [])
})

test('slots: requests beyond the number that is held are denied at once, the last in order first', async t => {
  const ledger = new SlotLedger()
  ledger.recordCount(limit, now)
  ledger.compete('last', limit, now, request({ rank: 9 }))
  const answers = Array.from({ length: 60 }, (_, index) => ledger.compete(String(index), limit, now, request({ rank: 1 }))).flat()
  t.equal(answers[0]?.key, 'last')
  t.equal(answers.length, 13)
  t.notOk(answers.some(({ isGranted }) => isGranted))
})

/** Guards against another admission in services that are not ranked. */
test('admission: as before unless the service is ranked', async t => {
  const context = { route: replayRoute, engine: replayEngine, waitMilliseconds: 0 }
  t.same(admissionFor({ ...context, isLate: true }), { requestsPerSlot: 0.75, waiting: 0 })
  t.same(admissionFor({ ...context, isLate: false }), { requestsPerSlot: 1, waiting: 1 })
  t.same(admissionFor({ ...context, isLate: false, isRanked: true }), { requestsPerSlot: 1, waiting: 2 })
  t.ok(admissionFor({ ...context, isLate: true, isRanked: true }).requestsPerSlot > 0.75)
})

/** Guards against the order of service in services that are not ranked: an agent answers their requests as it did before, also beside contending ones. */
test('slots: a request without an order is answered at once by the free slots alone', async t => {
  for (const counted of [0, 3, limit - 1, limit, limit + 2]) {
    const ledger = new SlotLedger()
    ledger.recordCount(counted, now)
    for (let granted = 0; granted < 4; granted += 1) {
      const load = Math.min(counted + granted, Math.max(counted, limit))
      const isGranted = load + 1 <= limit
      t.same(ledger.answer(String(granted), limit, now), { load: isGranted ? load + 1 : load, isGranted })
    }
    t.notOk(ledger.hasHeld)
  }
})

/** Guards against shares that stay distorted after an entry or an agent was killed with grants open. */
for (const { name, restart } of [{ name: 'an entry is killed with grants open', restart: false }, { name: 'the agent is killed with grants open and a new one takes over', restart: true }]) {
  test(`slots: ${name}; shares are back within 2 s`, async t => {
    let ledger = new SlotLedger()
    ledger.recordCount(0, now)
    for (let index = 0; index < limit; index += 1) ledger.compete(`killed ${index}`, limit, now, request({ organisation: 'killed' }))
    if (restart) ledger = new SlotLedger()
    t.same(restart ? ledger.compete('early', limit, now + 1, request()) : [], [], 'no grant before the engine was counted')
    ledger.recordCount(0, now + 100)
    t.match(ledger.compete('next', limit, now + 100, request()), [{ load: 1, isGranted: true }], 'the grants are no longer counted')
    const granted = { killed: 0, a: 0 }
    for (let at = now + 200; at < now + 2200; at += 100) {
      ledger.recordCount(limit, at)
      for (const organisation of ['killed', 'a'] as const) ledger.compete(`${organisation} ${at}`, limit, at, request({ organisation }))
      ledger.recordCount(limit - 1, at + 10)
      for (const { key, isGranted } of ledger.settle(at + 10)) if (isGranted) granted[key.startsWith('killed') ? 'killed' : 'a'] += 1
      ledger.settle(at + 90)
    }
    t.equal(granted.killed + granted.a, 20)
    t.ok(Math.abs(ledger.uses(now + 2200).reduce((difference, { organisation, work }) => difference + (organisation === 'killed' ? work : -work), 0)) <= 150, `${granted.killed} and ${granted.a} grants`)
  })
}
