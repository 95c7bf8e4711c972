/** An append of a lease that had no answer may be executed seconds later, when its agent has ended and another one has the lease. */
import { test } from 'tap'
import { InstanceLease } from '../src/roles/agent/lease.js'
import { LogClient, streams } from '../src/transports/log-client.js'
import { FakeLog } from './fakes/log.js'
import { eventually } from './fakes/test-cluster.js'

const instance = 'one'

/** Client whose appends get no answer; they are executed when the test says so. */
class LateClient extends LogClient {
  readonly bodies: string[] = []

  constructor (private readonly log: FakeLog) {
    super()
  }

  read: LogClient['read'] = async (_stream, from, waitUntil) => await this.log.read(instance, from, waitUntil)

  append: LogClient['append'] = async (_stream, bodies) => {
    this.bodies.push(...bodies)
    throw new Error('the log did not answer')
  }
}

const cases: readonly { readonly name: string, readonly executedBefore: boolean, readonly hasSuccessor: boolean, readonly isHeld: boolean }[] = [
  { name: 'a repeated append of an agent that has ended', executedBefore: true, hasSuccessor: false, isHeld: true },
  { name: 'the only append of an agent that has ended', executedBefore: false, hasSuccessor: false, isHeld: true },
  { name: 'the append of a successor', executedBefore: true, hasSuccessor: true, isHeld: false }
]

for (const { name, executedBefore, hasSuccessor, isHeld } of cases) {
  test(`late lease: ${name}`, async t => {
    const log = new FakeLog()
    const late = new LateClient(log)
    const ended = new InstanceLease(late, instance, 'before', () => {})
    const lease = new InstanceLease(log.clientOf(instance), instance, 'now', () => {})
    const successor = new InstanceLease(log.clientOf('two'), instance, 'next', () => {})
    t.teardown(() => { for (const one of [ended, lease, successor]) one.stop() })
    ended.start()
    await eventually(async () => late.bodies.length > 0)
    ended.stop()
    const [body = ''] = late.bodies
    if (executedBefore) log.append(body)
    lease.start()
    await eventually(async () => lease.fence !== undefined)
    if (hasSuccessor) successor.start()
    else log.append(body)
    const records = log.next
    await eventually(async () => log.next >= records && (await log.read(instance, 0, 0)).records.length >= 2)
    await new Promise(resolve => { setTimeout(resolve, 200) })
    t.equal(lease.fence !== undefined, isHeld, `the lease in ${streams.leases}`)
    t.equal(lease.isSuperseded, !isHeld)
  })
}
