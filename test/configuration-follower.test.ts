import { test } from 'tap'
import type { FoldState } from '../src/types/configuration.js'
import { snapshotIntervalRecords } from '../src/core/configuration/snapshots.js'
import { FollowerBench, moveBody, pause, until, type FollowerNode } from './fakes/followers.js'

const layout = [
  ['entry-a1', 'ahmedabad', 'entry'], ['entry-a2', 'ahmedabad', 'entry'], ['entry-a3', 'ahmedabad', 'entry'],
  ['entry-r1', 'rajkot', 'entry'], ['entry-r2', 'rajkot', 'entry'], ['agent-r3', 'rajkot', 'upstream'], ['agent-r4', 'rajkot', 'upstream']
] as const

/** Longer than a confirmation is valid, so that one that is not renewed has expired. */
const lapseMilliseconds = 6000

async function startBench (whenIsolated: 'refuse' | 'serve' = 'refuse'): Promise<FollowerBench> {
  const bench = new FollowerBench(whenIsolated)
  for (const [instance, dataCentre, role] of layout) await bench.add(instance, dataCentre, role)
  await bench.waitUntilCurrent()
  return bench
}

function nodeOf (bench: FollowerBench, instance: string): FollowerNode {
  const node = bench.nodes.find(({ listed }) => listed.instance === instance)
  if (node === undefined) throw new Error(`no node ${instance}`)
  return node
}

const relevantState = ({ next, revision, revisions, configuration }: FoldState): unknown => ({ next, revision, revisions, configuration })

test('only two entries of a data centre read the log, and all nodes have each change', async t => {
  const bench = await startBench()
  t.teardown(() => { bench.stop() })
  await pause(2000)
  bench.log.reads.clear()
  bench.log.append(moveBody('rajkot', 'out', 0))
  await bench.waitUntilCurrent()
  await pause(lapseMilliseconds)
  const readers = [...bench.log.reads.keys()]
  t.equal(readers.filter(instance => instance.startsWith('entry-a')).length, 2)
  t.same(readers.filter(instance => instance.includes('-r')).sort(), ['entry-r1', 'entry-r2'])
  t.ok(bench.nodes.every(({ follower }) => follower.state.configuration?.dataCentres['rajkot']?.state === 'out'))
  t.ok(bench.nodes.every(({ follower }) => follower.mayTakeWork()))
})

test('during an outage of the log all nodes take work, fresh ones included, and afterwards they get the changes', async t => {
  const bench = await startBench()
  t.teardown(() => { bench.stop() })
  bench.log.append(moveBody('rajkot', 'out', 0))
  await bench.waitUntilCurrent()
  bench.log.isUnavailable = true
  const refusals = new Set<string>()
  const watch = setInterval(() => { for (const { follower } of bench.nodes) if (!follower.mayTakeWork()) refusals.add(follower.instance) }, 20)
  await pause(lapseMilliseconds)
  clearInterval(watch)
  t.same([...refusals], [], 'no node refuses during the outage')
  const fresh = [await bench.add('entry-v1', 'vadodara'), await bench.add('agent-r5', 'rajkot', 'upstream')]
  await until(() => fresh.every(({ follower }) => follower.state.next === 2 && follower.mayTakeWork()))
  t.ok(fresh.every(({ follower }) => !follower.logReachable), 'fresh nodes have the configuration from peers')
  bench.log.isUnavailable = false
  bench.log.append(moveBody('rajkot', 'in', 1))
  await bench.waitUntilCurrent()
  t.ok(bench.nodes.every(({ follower }) => follower.state.revision === 2))
})

const isolations = [
  { name: 'a node without connection to the log and its peers', cut: ['agent-r3'], whenIsolated: 'refuse', takesWork: false },
  { name: 'a data centre without connection to the log and the other data centres', cut: ['entry-r1', 'entry-r2', 'agent-r3', 'agent-r4'], whenIsolated: 'refuse', takesWork: false },
  { name: 'a node of the data centre of the log without connection to it and its peers', cut: ['entry-a1'], whenIsolated: 'refuse', takesWork: false },
  { name: 'an isolated node that is configured to serve', cut: ['entry-r1'], whenIsolated: 'serve', takesWork: true }
] as const

for (const { name, cut, whenIsolated, takesWork } of isolations) {
  test(`${name} ${takesWork ? 'takes work' : 'refuses work'}, the others take work, and it catches up afterwards`, async t => {
    const bench = await startBench(whenIsolated)
    t.teardown(() => { bench.stop() })
    for (const instance of cut) {
      bench.log.cut.add(instance)
      bench.partitions.set(instance, 1)
    }
    const isolated = cut.map(instance => nodeOf(bench, instance))
    const others = bench.nodes.filter(node => !isolated.includes(node))
    if (takesWork) await pause(lapseMilliseconds)
    else await until(() => isolated.every(({ follower }) => !follower.mayTakeWork()))
    bench.log.append(moveBody('rajkot', 'out', 0))
    await until(() => others.every(({ follower }) => follower.state.next === 2 && follower.mayTakeWork()))
    t.ok(isolated.every(({ follower }) => follower.mayTakeWork() === takesWork))
    t.ok(isolated.every(({ follower }) => follower.state.next === 1))
    bench.log.cut.clear()
    bench.partitions.clear()
    await bench.waitUntilCurrent()
    t.ok(isolated.every(({ follower }) => follower.state.revision === 1))
  })
}

test('a node that reaches no peer reads the log itself', async t => {
  const bench = await startBench()
  t.teardown(() => { bench.stop() })
  await pause(2000)
  bench.log.reads.clear()
  bench.partitions.set('agent-r4', 1)
  await until(() => bench.log.reads.has('agent-r4'))
  bench.log.append(moveBody('rajkot', 'out', 0))
  await bench.waitUntilCurrent()
  t.equal(nodeOf(bench, 'agent-r4').follower.state.revision, 1)
})

test('readers that stop are replaced, also while they are still listed', async t => {
  const bench = await startBench()
  t.teardown(() => { bench.stop() })
  for (const instance of ['entry-r1', 'entry-r2']) {
    const node = nodeOf(bench, instance)
    node.stop()
    bench.nodes.splice(bench.nodes.indexOf(node), 1)
  }
  const refusals = new Set<string>()
  const watch = setInterval(() => { for (const { follower } of bench.nodes) if (!follower.mayTakeWork()) refusals.add(follower.instance) }, 20)
  bench.log.append(moveBody('rajkot', 'out', 0))
  await bench.waitUntilCurrent()
  await pause(lapseMilliseconds)
  clearInterval(watch)
  t.same([...refusals], [], 'no node refuses meanwhile')
  bench.publishList(bench.instances.filter(({ instance }) => !instance.startsWith('entry-r')))
  bench.log.append(moveBody('rajkot', 'in', 1))
  await bench.waitUntilCurrent()
  t.ok(bench.nodes.every(({ follower }) => follower.state.revision === 2))
})

test('corrupt records are refused in the same way by every node and do not block later records', async t => {
  const bench = await startBench()
  t.teardown(() => { bench.stop() })
  bench.log.append('{"type":"change"', '', '{"type":"snapshot","asOf":"x"}', '\u0000', moveBody('rajkot', 'out', 0))
  await bench.waitUntilCurrent()
  const [first, ...others] = bench.nodes.map(({ follower }) => follower.state)
  t.equal(first?.revision, 5)
  t.same(first?.refused.map(({ reason }) => reason), ['malformed', 'malformed', 'malformed', 'malformed'])
  for (const other of others) t.same(other, first)
})

test('a snapshot is written before records expire, and a fresh node starts from it', async t => {
  const bench = await startBench()
  t.teardown(() => { bench.stop() })
  const moves = Array.from({ length: snapshotIntervalRecords + 60 }, (_, index) => moveBody('rajkot', index % 2 === 0 ? 'out' : 'in', index))
  bench.log.append(...moves)
  await until(() => bench.log.records.some(({ body }) => body.startsWith('{"type":"snapshot"')))
  await bench.waitUntilCurrent()
  bench.log.append(moveBody('rajkot', 'out', moves.length))
  bench.log.expireBefore(moves.length)
  bench.partitions.set('entry-alone', 1)
  await bench.add('entry-alone', 'vadodara')
  await bench.waitUntilCurrent()
  const states = bench.nodes.map(({ follower }) => relevantState(follower.state))
  for (const state of states) t.same(state, states[0])
  t.equal(bench.nodes[0]?.follower.state.refused.some(({ reason }) => reason === 'snapshot-mismatch'), false)
})

test('a snapshot includes all records of the log, also when its writer reads slowly', async t => {
  const bench = await startBench()
  t.teardown(() => { bench.stop() })
  bench.log.readDelayMilliseconds = 400
  const moves = Array.from({ length: snapshotIntervalRecords + 160 }, (_, index) => moveBody('rajkot', index % 2 === 0 ? 'out' : 'in', index))
  bench.log.append(...moves)
  await until(() => bench.log.records.some(({ body }) => body.startsWith('{"type":"snapshot"')))
  const [snapshot] = bench.log.records.filter(({ body }) => body.startsWith('{"type":"snapshot"'))
  const { asOf } = JSON.parse(snapshot?.body ?? '{}') as { readonly asOf: number }
  t.equal(asOf, moves.length)
})

test('a peer with another configuration at the same offset changes nothing and confirms nothing', async t => {
  const bench = new FollowerBench()
  t.teardown(() => { bench.stop() })
  const forked = new FollowerBench()
  t.teardown(() => { forked.stop() })
  forked.log.append(moveBody('rajkot', 'out', 0))
  bench.log.append(moveBody('vadodara', 'out', 0))
  const forkedNode = await forked.add('entry-a1', 'ahmedabad')
  await forked.waitUntilCurrent()
  const node = await bench.add('entry-r1', 'rajkot')
  await bench.waitUntilCurrent()
  bench.log.isUnavailable = true
  bench.publishList([...bench.instances, forkedNode.listed])
  const before = node.follower.state
  await until(() => !node.follower.mayTakeWork())
  t.ok(forkedNode.follower.mayTakeWork(), 'the forked node is confirmed by its own log')
  t.equal(node.follower.state, before)
})
