/** Answers with neither a length nor chunks, which end with their connection, through a real entry. */
import { test } from 'tap'
import { metricOf } from './fakes/entry-group.js'
import { completeText, isWhole, StreamFleet, type RouteOptions, type Script } from './fakes/stream-fleet.js'

interface Case {
  readonly name: string
  readonly options?: Partial<RouteOptions>
  readonly script: Script
  /** Calls that each request may make. */
  readonly calls: number
}

const requests = 5

const cases: readonly Case[] = [
  {
    name: 'a whole stream',
    script: async call => { await call.withoutFraming().finish() },
    calls: 1
  },
  {
    name: 'the rest of a stream that began with chunks and was reset',
    script: async (call, number) => {
      if (number > 0) await call.withoutFraming().finish()
      else {
        await call.sendUntil(2)
        call.reset()
      }
    },
    calls: 2
  },
  {
    name: 'the beginning of a stream, reset between two events',
    script: async (call, number) => {
      if (number > 0) await call.finish()
      else {
        await call.withoutFraming().sendUntil(2)
        call.reset()
      }
    },
    calls: 2
  },
  {
    name: 'the beginning of a stream that ends within an event',
    script: async (call, number) => {
      if (number > 0) await call.withoutFraming().finish()
      else {
        await call.withoutFraming().sendUntil(4)
        call.endWithinEvent()
      }
    },
    calls: 2
  }
]

for (const { name, options = {}, script, calls } of cases) {
  test(`answer without a length: ${name}`, async t => {
    const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 2, ...options }, script)
    await fleet.start()
    const results = await fleet.sendAll(requests)
    t.equal(results.filter(isWhole).length, requests, 'each caller has the whole stream and its end')
    t.same([...fleet.calls.values()].map(list => list.length), Array.from({ length: requests }, () => calls), 'calls of each request')
    await fleet.stop()
  })
}

test('answer without a length: a stream that breaks off for good does not look complete', async t => {
  const breaks: readonly { readonly name: string, readonly script: Script }[] = [
    {
      name: 'within an event',
      script: async call => {
        await call.withoutFraming().sendUntil(4)
        call.endWithinEvent()
      }
    },
    {
      name: 'by a reset between two events',
      script: async call => {
        await call.withoutFraming().sendUntil(4)
        call.reset()
      }
    }
  ]
  for (const { name, script } of breaks) {
    const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 1 }, script)
    await fleet.start()
    const results = await fleet.sendAll(requests)
    t.same(results.map(({ status, isComplete }) => ({ status, isComplete })), results.map(() => ({ status: 200, isComplete: false })), name)
    t.ok(results.every(({ text }) => completeText.startsWith(text)), 'no part of an event is passed on')
    await fleet.stop()
  }
})

test('answer without a length: no stream', async t => {
  const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 2, kind: 'safe' }, call => { call.withoutFraming().answer(200, 'done') })
  await fleet.start()
  const results = await fleet.sendAll(requests)
  t.same(results, results.map(() => ({ status: 200, text: 'done', isComplete: true })))
  t.equal(fleet.allCalls.length, requests, 'each is asked for once')
  t.equal(await metricOf(fleet.entry, 'pollendyke_upstream_requests_total'), requests, 'nothing is drawn from the retry budget')
  await fleet.stop()
})

test('answer without a length: no stream, reset on the way', async t => {
  const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 2, kind: 'safe' }, (call, number) => {
    if (number > 0) call.withoutFraming().answer(200, 'done')
    else {
      call.withoutFraming().sendHead()
      setTimeout(() => { call.reset() }, 30)
    }
  })
  await fleet.start()
  const results = await fleet.sendAll(requests)
  t.same(results, results.map(() => ({ status: 200, text: 'done', isComplete: true })))
  t.equal(fleet.allCalls.length, 2 * requests)
  await fleet.stop()
})
