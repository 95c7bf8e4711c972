/** Refusals before and after a connection carries the answer to another request: a caller that cannot be told 'not run' does not lose its answer over them. */
import { test } from 'tap'
import { metricOf } from './fakes/entry-group.js'
import { completeText, StreamFleet, type ScriptedCall } from './fakes/stream-fleet.js'
import { eventually } from './fakes/test-cluster.js'

/** What an upstream does with a call: it refuses, its connection carries the late refusal of another request, or it answers. */
type Manner = 'refuses' | 'late bytes' | 'answers'

interface Case {
  readonly name: string
  readonly upstreams: number
  /** Manners of the calls of a request, in their order; further ones are answered. */
  readonly manners: readonly Manner[]
  readonly calls: number
  readonly status: number
}

const maximumUpstreams = 2
const lateRefusal = 'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Attempt-Id: another\r\nContent-Length: 0\r\n\r\n'

const cases: readonly Case[] = [
  { name: 'two refuse, the third has late bytes and then refuses', upstreams: 3, manners: ['refuses', 'refuses', 'late bytes', 'refuses'], calls: 5, status: 200 },
  { name: 'the only one has late bytes and then refuses', upstreams: 1, manners: ['late bytes', 'refuses'], calls: 3, status: 200 },
  { name: 'one refuses, the other has late bytes and refuses twice', upstreams: 2, manners: ['refuses', 'late bytes', 'refuses', 'refuses'], calls: 5, status: 200 },
  { name: 'one has late bytes, and all three refuse once', upstreams: 3, manners: ['late bytes', 'refuses', 'refuses', 'refuses'], calls: 5, status: 200 },
  { name: 'two refuse, the third has late bytes, and all refuse from then on', upstreams: 3, manners: ['refuses', 'refuses', 'late bytes', ...Array.from({ length: 9 }, () => 'refuses' as const)], calls: 9, status: 502 },
  { name: 'three refuse', upstreams: 4, manners: ['refuses', 'refuses', 'refuses'], calls: 3, status: 503 }
]

async function play (call: ScriptedCall, manner: Manner, kind: 'stream' | 'safe'): Promise<void> {
  if (manner === 'refuses') call.refuse(503)
  else if (manner === 'late bytes') call.sendRaw(lateRefusal, 'none')
  else if (kind === 'stream') await call.finish()
  else call.answer(200, 'done')
}

for (const kind of ['safe', 'stream'] as const) {
  for (const { name, upstreams, manners, calls, status } of cases) {
    test(`refused repeat, ${kind}: ${name}`, async t => {
      const ran = new Set<number>()
      const fleet = new StreamFleet({ upstreams, maximumUpstreams, kind }, async (call, number, upstream) => {
        const manner = manners[number] ?? 'answers'
        if (manner !== 'refuses') ran.add(upstream)
        await play(call, manner, kind)
      })
      await fleet.start()
      const result = await fleet.send('request-0').result
      t.equal(result.status, status)
      if (status === 200) t.equal(result.text, kind === 'stream' ? completeText : 'done')
      t.equal(fleet.allCalls.length, calls, 'calls')
      t.ok(ran.size <= maximumUpstreams, 'it may have run on no more upstreams than its route allows')
      await eventually(async () => await metricOf(fleet.entry, 'pollendyke_upstream_requests') === 0)
      await fleet.stop()
    })
  }
}
