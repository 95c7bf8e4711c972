import fc from 'fast-check'
import { test } from 'tap'
import { limitAfterLoss, coldLimit, lowerUntrackedCount, limitAfterAnswer, type ConcurrencyLimit } from '../src/core/dispatch/concurrency-limit.js'
import { EngineStandIn } from '../stand-in/engine.js'
import { ServiceStandIn } from '../stand-in/service.js'
import { testWeights, SlotWorld } from './fakes/slot.js'
import { eventually } from './fakes/test-cluster.js'

const bounds = { coldBound: 2, fullBound: 8, firstByteTargetMilliseconds: 500 }
const fastAnswer = { firstByteMilliseconds: 10, atLimit: true }
const warm: ConcurrencyLimit = { limit: 8, cold: false, successCount: 0, growthBackoff: 1 }

const answers = [
  { name: 'a fast answer below the limit does not count towards growth', from: warm, answer: { ...fastAnswer, atLimit: false }, limit: 8 },
  { name: 'a slow answer halves the limit', from: warm, answer: { ...fastAnswer, firstByteMilliseconds: 501 }, limit: 4 },
  { name: 'a slow answer never goes below the cold bound', from: coldLimit(bounds), answer: { ...fastAnswer, firstByteMilliseconds: 501 }, limit: 2 },
  { name: 'the last required fast answer raises the limit by one', from: { limit: 3, cold: true, successCount: 11, growthBackoff: 1 }, answer: fastAnswer, limit: 4 },
  { name: 'after losses above the cold bound, growth needs more fast answers', from: { limit: 3, cold: true, successCount: 11, growthBackoff: 2 }, answer: fastAnswer, limit: 3 }
] as const

for (const { name, from, answer, limit } of answers) {
  test(name, async t => { t.equal(limitAfterAnswer(from, bounds, answer).limit, limit) })
}

test('the limit stays within its bounds, and a loss resets it to the cold bound and never speeds up growth', async t => {
  const event = fc.oneof(fc.constant('loss' as const), fc.record({ firstByteMilliseconds: fc.integer({ min: 1, max: 700 }), atLimit: fc.boolean() }))
  fc.assert(fc.property(fc.array(event, { maxLength: 400 }), events => {
    let bearing = coldLimit(bounds)
    return events.every(step => {
      const before = bearing
      bearing = step === 'loss' ? limitAfterLoss(bearing, bounds) : limitAfterAnswer(bearing, bounds, step)
      const within = bearing.limit >= bounds.coldBound && bearing.limit <= bounds.fullBound && bearing.limit <= before.limit + 1
      return within && (step !== 'loss' || (bearing.limit === bounds.coldBound && bearing.growthBackoff >= before.growthBackoff))
    })
  }), { seed: 20_262, numRuns: 500 })
  t.pass('500 runs')
})

const untrackedCases = [
  { untracked: 3, running: 5, tracked: 2, expected: 3 },
  { untracked: 3, running: 5, tracked: 4, expected: 1 },
  { untracked: 3, running: 0, tracked: 4, expected: 0 },
  { untracked: 1, running: 9, tracked: 0, expected: 1 }
] as const

for (const { untracked, running, tracked, expected } of untrackedCases) {
  test(`with ${running} running, ${tracked} of them tracked, ${untracked} untracked requests become ${expected}`, async t => { t.equal(lowerUntrackedCount(untracked, running, tracked), expected) })
}

test('a new agent on a running engine starts cold and counts requests left by earlier agents', async t => {
  const world = await SlotWorld.start()
  const engine = new EngineStandIn()
  engine.behaviour.tokenMilliseconds = 2
  const slot = await world.addEngine(engine)
  const url = await world.serve(engine)
  const earlierRequests = ['one', 'two'].map(async id => await (await fetch(`${url}/completions`, { method: 'POST', body: JSON.stringify({ id, prompt: 'left', maximumTokens: 1_000_000, priority: 0, resumeFrom: 0 }) })).text())
  await eventually(() => engine.runningCount === 2)
  const newSlot = await world.add('citations', url, { origin: await world.serve(world.origin), instance: slot.instance })
  await world.until(newSlot, ({ weights, state }) => state === 'open' && weights === testWeights.first.named.digest)
  const status = await world.statusOf(newSlot)
  t.same([status.limit, status.cold, status.inFlight], [2, true, 2])
  const waits = await world.prompt(newSlot, 'new', 'a hike', 5, { milliseconds: 100 })
  t.equal(waits.outcome, 'not-run')
  t.notOk(engine.register.started.some(({ id }) => id === 'new'))
  for (const id of ['one', 'two']) await fetch(`${url}/completions/${id}`, { method: 'DELETE' })
  await Promise.all(earlierRequests)
  await world.until(newSlot, ({ inFlight }) => inFlight === 0)
  t.equal((await world.prompt(newSlot, 'later', 'a hike', 5)).status, 200)
  t.equal((await world.statusOf(slot)).state, 'closed')
  await world.stop()
})

test('a plain service that restarts under load gets its cold bound at once', async t => {
  const world = await SlotWorld.start()
  const service = new ServiceStandIn()
  service.behaviour.workMilliseconds = 3
  const slot = await world.addLedger(service)
  const stop = new AbortController()
  let number = 0
  const work = async (): Promise<void> => {
    while (!stop.signal.aborted) await world.call(slot, { id: `id-${number += 1}`, operation: 'look-up' })
  }
  const workers = Array.from({ length: 12 }, work)
  await world.until(slot, status => status.limit > 4)
  service.behaviour.workMilliseconds = 50
  service.crash()
  await world.until(slot, status => status.limit === 2)
  service.highestRunning = 0
  await eventually(() => service.register.length > 0 && service.highestRunning > 0)
  t.equal(service.highestRunning <= 2, true)
  stop.abort()
  await Promise.all(workers)
  await world.stop()
})
