/** Guards against a request that ended two upstreams and is sent to a fourth while it waits for the third, which has gone dark with it. */
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'tap'
import { CrashSuspects } from '../src/core/dispatch/crash-suspects.js'
import { traitsOf } from '../src/core/dispatch/request-traits.js'
import { StreamFleet } from './fakes/stream-fleet.js'
import { eventually } from './fakes/test-cluster.js'

/** Time without a byte after which another upstream is called, and time in which that happens, milliseconds. */
const [silentMilliseconds, decisionMilliseconds] = [1300, 700] as const
/** Time in which an entry reads a record, milliseconds. */
const recordMilliseconds = 500

const fleetCases: readonly { readonly name: string, readonly ends: number, readonly calls: number }[] = [
  { name: 'no other upstream ended', ends: 0, calls: 2 },
  { name: 'one ended', ends: 1, calls: 2 },
  { name: 'two ended', ends: 2, calls: 1 }
]

for (const { name, ends, calls } of fleetCases) {
  test(`crashing request, silent: ${name}`, async t => {
    const called: number[] = []
    const fleet = new StreamFleet({ upstreams: 5, maximumUpstreams: 2 }, (_call, _number, upstream) => { called.push(upstream) })
    await fleet.start()
    for (let end = 0; end < ends; end += 1) {
      const { outgoing, result } = fleet.send(`ended-${end}`)
      await eventually(async () => called.length > end)
      outgoing.destroy()
      await result
      fleet.removeRecord(called[end] ?? -1)
      await delay(recordMilliseconds)
    }
    const { outgoing, result } = fleet.send('request')
    await delay(silentMilliseconds + decisionMilliseconds)
    t.equal(fleet.calls.get('request')?.length, calls)
    outgoing.destroy()
    await result
    await fleet.stop()
  })
}

const [request = '', part = ''] = traitsOf('request-1', 'service', ['a', 'own'])

const suspectCases: readonly { readonly name: string, readonly trait: string, readonly ended: readonly string[], readonly silent: readonly string[], readonly isSuspect: boolean }[] = [
  { name: 'three silent ones, none has ended', trait: request, ended: [], silent: ['a/1', 'b/1', 'c/1'], isSuspect: false },
  { name: 'one has ended, one is silent', trait: request, ended: ['a/1'], silent: ['b/1'], isSuspect: false },
  { name: 'one has ended, two are silent', trait: request, ended: ['a/1'], silent: ['b/1', 'c/1'], isSuspect: true },
  { name: 'two have ended, one is silent', trait: request, ended: ['a/1', 'b/1'], silent: ['c/1'], isSuspect: true },
  { name: 'the silent one is among those that have ended', trait: request, ended: ['a/1', 'b/1'], silent: ['b/1'], isSuspect: false },
  { name: 'a part that others share', trait: part, ended: ['a/1'], silent: ['b/1', 'c/1'], isSuspect: false }
]

for (const { name, trait, ended, silent, isSuspect } of suspectCases) {
  test(`crashing request, silent upstreams: ${name}`, async t => {
    const suspects = new CrashSuspects()
    ended.forEach((upstream, index) => { suspects.recordEnd([trait], upstream, 1000 * index) })
    t.equal(suspects.isSuspect([trait], silent), isSuspect)
  })
}
