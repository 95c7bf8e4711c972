import fc from 'fast-check'
import { test } from 'tap'
import { limitAfterLoss, coldLimit, lowerUntrackedCount, limitAfterAnswer, type ConcurrencyLimit } from '../src/core/concurrency-limit.js'
import { EngineStandIn } from '../stand-in/engine.js'
import { ServiceStandIn } from '../stand-in/service.js'
import { testWeights, SlotWorld } from './fakes/slot.js'
import { eventually } from './fakes/world.js'

const bounds = { coldBound: 2, fullBound: 8, firstByteTargetMilliseconds: 500 }
const good = { firstByteMilliseconds: 10, atLimit: true }
const warm: ConcurrencyLimit = { limit: 8, cold: false, successCount: 0, growthBackoff: 1 }

const answers = [
  { name: 'a good answer below the limit is no evidence', from: warm, answer: { ...good, atLimit: false }, limit: 8 },
  { name: 'a slow answer halves the limit', from: warm, answer: { ...good, firstByteMilliseconds: 501 }, limit: 4 },
  { name: 'a slow answer never goes below the cold bound', from: coldLimit(bounds), answer: { ...good, firstByteMilliseconds: 501 }, limit: 2 },
  { name: 'the last piece of evidence raises the limit by one', from: { limit: 3, cold: true, successCount: 11, growthBackoff: 1 }, answer: good, limit: 4 },
  { name: 'caution asks for more evidence', from: { limit: 3, cold: true, successCount: 11, growthBackoff: 2 }, answer: good, limit: 3 }
] as const

for (const { name, from, answer, limit } of answers) {
  test(name, async t => { t.equal(limitAfterAnswer(from, bounds, answer).limit, limit) })
}

test('the limit stays within the bounds, and a loss makes it cold and more cautious', async t => {
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
  { foreign: 3, running: 5, own: 2, left: 3 },
  { foreign: 3, running: 5, own: 4, left: 1 },
  { foreign: 3, running: 0, own: 4, left: 0 },
  { foreign: 1, running: 9, own: 0, left: 1 }
] as const

for (const { foreign, running, own, left } of untrackedCases) {
  test(`of ${running} running, ${own} surely own, ${foreign} counted: ${left} are left`, async t => { t.equal(lowerUntrackedCount(foreign, running, own), left) })
}

test('a fresh agent on a running engine starts cold and counts what earlier agents left', async t => {
  const world = await SlotWorld.start()
  const engine = new EngineStandIn()
  engine.behaviour.tokenMilliseconds = 2
  const slot = await world.addEngine(engine)
  const url = await world.serve(engine)
  const leftovers = ['one', 'two'].map(async id => await (await fetch(`${url}/completions`, { method: 'POST', body: JSON.stringify({ id, prompt: 'left', maximumTokens: 1_000_000, priority: 0, resumeFrom: 0 }) })).text())
  await eventually(() => engine.runningCount === 2)
  const fresh = await world.add('citations', url, { origin: await world.serve(world.origin), instance: slot.instance })
  await world.until(fresh, ({ weights, state }) => state === 'open' && weights === testWeights.first.named.digest)
  const status = await world.statusOf(fresh)
  t.same([status.limit, status.cold, status.inFlight], [2, true, 2])
  const waits = await world.prompt(fresh, 'new', 'a hike', 5, { milliseconds: 100 })
  t.equal(waits.outcome, 'not-run')
  t.notOk(engine.register.started.some(({ id }) => id === 'new'))
  for (const id of ['one', 'two']) await fetch(`${url}/completions/${id}`, { method: 'DELETE' })
  await Promise.all(leftovers)
  await world.until(fresh, ({ inFlight }) => inFlight === 0)
  t.equal((await world.prompt(fresh, 'later', 'a hike', 5)).status, 200)
  t.equal((await world.statusOf(slot)).state, 'closed')
  await world.stop()
})

test('a plain service that restarts under load is cold at once', async t => {
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
