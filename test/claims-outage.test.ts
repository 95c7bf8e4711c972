import { test } from 'tap'
import { ServiceStandIn } from '../stand-in/service.js'
import { SlotWorld } from './fakes/slot.js'
import { eventually } from './fakes/test-cluster.js'

test('during a log outage, a key that is known to have run is not refused as not-run', async t => {
  const world = await SlotWorld.start()
  const services = [new ServiceStandIn(), new ServiceStandIn()] as const
  try {
    const [holder, other] = [await world.addLedger(services[0]), await world.addLedger(services[1])]
    t.equal((await world.call(holder, { id: 'first', key: 'k' })).outcome, 'run')
    await eventually(async () => (await world.call(other, { id: 'known', key: 'k' })).failure === 'claim-lost')
    world.log.faults.outage = true
    await eventually(async () => (await world.call(other, { id: 'unclaimed', key: 'never-claimed' })).failure === 'log-unavailable')
    const resent = await world.call(other, { id: 'resent', key: 'k' })
    t.same([resent.failure, resent.claimHolder], ['claim-lost', holder.control])
    t.equal((await world.call(holder, { id: 'again', key: 'k' })).outcome, 'run')
    t.equal(services[0].register.length + services[1].register.length, 1)
  } finally {
    world.log.faults.outage = false
    await world.stop()
  }
})
