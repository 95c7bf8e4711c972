/** Faults of several series that end and restart the same process. */
import { test } from 'tap'
import { ManagedProcess } from '../script/process.js'

const delayedStart = "setTimeout(() => { console.log('ready') }, 300); setInterval(() => {}, 1000)"
const failingStart = 'process.exit(7)'

test('a process that is ended while it starts can be started again', async t => {
  const managed = new ManagedProcess('delayed', ['-e', delayedStart])
  const first = managed.ensureRunning()
  await new Promise(resolve => setTimeout(resolve, 50))
  await managed.end()
  await first
  t.notOk(managed.isRunning)
  await managed.ensureRunning()
  t.ok(managed.isRunning)
  t.notOk(managed.wasEndedAtOnce)
  await managed.end()
})

test('a process that ends by itself before it is ready is an error each time', async t => {
  const managed = new ManagedProcess('failing', ['-e', failingStart])
  await t.rejects(managed.ensureRunning(), /ended with 7/)
  await t.rejects(managed.ensureRunning(), /ended with 7/)
})

const stops = [
  { name: 'a planned stop', act: async (managed: ManagedProcess) => await managed.stop(), wasEndedAtOnce: false },
  { name: 'a planned stop of a process that another series ends', act: async (managed: ManagedProcess) => { await managed.end(); return await managed.stop() }, wasEndedAtOnce: true }
]

for (const { name, act, wasEndedAtOnce } of stops) {
  test(`${name} tells whether the process was ended at once`, async t => {
    const managed = new ManagedProcess('delayed', ['-e', delayedStart])
    await managed.start()
    await act(managed)
    t.equal(managed.wasEndedAtOnce, wasEndedAtOnce)
  })
}
