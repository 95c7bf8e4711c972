/** Tests of the fan-out tree, and of when and by whom snapshots are written. */
import { test } from 'tap'
import { childrenPerNode, parentsPerNode, placeNode, readersPerDataCentre } from '../src/core/configuration/fan-out.js'
import { isSnapshotDue, updateLastSnapshot, snapshotIntervalMilliseconds, snapshotIntervalRecords, writerRank } from '../src/core/configuration/snapshots.js'
import { snapshotPlaceholder } from '../src/core/configuration/fold.js'
import type { ListedInstance } from '../src/types/platform.js'

function list (entries: number, upstreams: number, dataCentre: string): readonly ListedInstance[] {
  return Array.from({ length: entries + upstreams }, (_, index) => {
    const instance = `${dataCentre}-${index}`
    return { instance, role: index < entries ? 'entry' as const : 'upstream' as const, service: '', dataCentre, region: 'west', state: 'live' as const, address: '', controlAddress: instance }
  })
}

const sizes = [
  { name: 'one entry', entries: 1, upstreams: 0, depth: 0 },
  { name: 'two entries', entries: 2, upstreams: 0, depth: 0 },
  { name: 'no entry', entries: 0, upstreams: 5, depth: 1 },
  { name: 'a small data centre', entries: 3, upstreams: 7, depth: 1 },
  { name: 'a data centre at design size', entries: 25, upstreams: 332, depth: 4 }
] as const

for (const { name, entries, upstreams, depth } of sizes) {
  test(`the tree of ${name} has bounded depth and fan-out and ends at readers`, async t => {
    const members = list(entries, upstreams, 'west')
    const placements = new Map(members.map(({ instance }) => [instance, placeNode([...members, ...list(2, 0, 'east')], { instance, dataCentre: 'west' }, 'east')]))
    const followers = new Map<string, number>()
    for (const { parents } of placements.values()) for (const { instance } of parents) followers.set(instance, (followers.get(instance) ?? 0) + 1)
    const depthOf = (instance: string): number => {
      const placement = placements.get(instance)
      if (placement === undefined || placement.isReader) return 0
      return 1 + Math.max(...placement.parents.map(parent => depthOf(parent.instance)))
    }
    const readers = [...placements.values()].filter(({ isReader: reader }) => reader)
    t.equal(readers.length, Math.min(readersPerDataCentre, members.length))
    t.ok(Math.max(0, ...followers.values()) <= childrenPerNode + 1, 'no node is followed by more than its children and the other reader')
    t.equal(Math.max(...members.map(({ instance }) => depthOf(instance))), depth)
    for (const { isReader: reader, parents, backups } of placements.values()) {
      t.equal(backups.length, 1)
      t.equal(parents.length, reader ? Math.min(1, members.length - 1) : Math.min(parentsPerNode, members.length - 1))
    }
    if (entries >= readersPerDataCentre) t.ok(members.filter(({ instance }) => placements.get(instance)?.isReader === true).every(({ role }) => role === 'entry'))
  })
}

test('a node that is not listed, or is shutting down, is a leaf', async t => {
  const members = list(3, 3, 'west')
  for (const instance of ['west-new', 'west-0']) {
    const listed = members.map(member => member.instance === 'west-0' ? { ...member, state: 'leaving' as const } : member)
    const placement = placeNode(listed, { instance, dataCentre: 'west' }, '')
    t.equal(placement.isReader, false)
    t.equal(placement.parents.length, parentsPerNode)
  }
})

const due = [
  { name: 'no configuration was applied', next: 0, revision: -1, age: snapshotIntervalMilliseconds, due: false },
  { name: 'few records and a recent snapshot', next: 10, revision: 5, age: 0, due: false },
  { name: 'many records', next: snapshotIntervalRecords + 1, revision: 5, age: 0, due: true },
  { name: 'an old snapshot and no records since', next: 1, revision: 0, age: snapshotIntervalMilliseconds, due: true }
] as const

for (const { name, next, revision, age, due: expected } of due) {
  test(`a snapshot is ${expected ? '' : 'not '}due: ${name}`, async t => {
    t.equal(isSnapshotDue({ offset: 0, at: 1000 }, { next, revision }, 1000 + age), expected)
  })
}

test('a received snapshot resets the interval, and possible writers have distinct ranks', async t => {
  t.same(updateLastSnapshot({ offset: 3, at: 0 }, [{ offset: 7, at: 70, body: snapshotPlaceholder }, { offset: 8, at: 80, body: '{"type":"change"}' }]), { offset: 7, at: 70 })
  t.same(updateLastSnapshot({ offset: 9, at: 90 }, [{ offset: 7, at: 70, body: snapshotPlaceholder }]), { offset: 9, at: 90 })
  const instances = [...list(2, 0, 'west'), ...list(2, 0, 'east')]
  const ranks = ['west', 'east'].flatMap(dataCentre => [0, 1].map(position => writerRank(instances, dataCentre, position)))
  t.same([...ranks].sort(), [0, 1, 2, 3])
})
