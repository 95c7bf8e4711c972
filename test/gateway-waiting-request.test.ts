/** Whether a request that waits for a connection is still sent to an upstream that may get no more requests by then. */
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { eventually } from './fakes/test-cluster.js'
import { answerCompletely, Fleet, isServed } from './fakes/plain-fleet.js'

/** Connections that an entry alone opens to the upstream for requests that may be repeated, half of those that the upstream accepts; one more request waits for one of them. */
const connections = 4
/** Time after the change for which the upstream holds its requests, milliseconds: longer than an entry takes to read a record, shorter than a request waits for a connection. */
const heldMilliseconds = 300

const cases: readonly { readonly name: string, readonly change: (fleet: Fleet) => void, readonly arrivals: number }[] = [
  { name: 'an upstream that remains listed', change: () => {}, arrivals: connections + 1 },
  { name: 'an upstream that begins to drain', change: fleet => { fleet.writeUpstream('draining') }, arrivals: connections },
  { name: 'an upstream whose record is removed', change: fleet => { fleet.removeUpstream() }, arrivals: connections },
  { name: 'an upstream whose data centre is evacuated', change: fleet => { fleet.evacuate() }, arrivals: connections }
]

for (const { name, change, arrivals } of cases) {
  test(`request that waits for a connection: ${name}`, async t => {
    let arrived = 0
    let release = (): void => {}
    const released = new Promise<void>(resolve => { release = resolve })
    const fleet = new Fleet((incoming, response) => {
      arrived += 1
      released.then(() => { answerCompletely(incoming, response) }, () => {})
    })
    await fleet.start()
    const entry = await fleet.startEntry()
    await sleepUntil(monotonicNow() + 1500)
    const held = Array.from({ length: connections }, (_, index) => isServed(entry, `held-${index}`))
    await eventually(async () => arrived === connections)
    const waiting = isServed(entry, 'waiting')
    await sleepUntil(monotonicNow() + 30)
    change(fleet)
    setTimeout(release, heldMilliseconds)
    t.same(await Promise.all(held), held.map(() => true), 'requests in progress are completed')
    t.equal(await waiting, arrivals > connections)
    t.equal(arrived, arrivals)
    await fleet.stop()
  })
}
