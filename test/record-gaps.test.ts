/** Removals reach an entry although the entry that it reads from started after them and never read them. */
import { createServer } from 'node:http'
import { test, type Test } from 'tap'
import { beforeLog, type LogPosition } from '../src/core/log-position.js'
import { FedRecordLog, fetchRecords, UnknownRemovalsError } from '../src/nodes/fed-record-log.js'
import { RecordFeed } from '../src/nodes/record-feed.js'
import { RecordFollower, type RecordListener } from '../src/nodes/record-follower.js'
import { listenOn } from '../src/transports/http-listen.js'
import { freshAddress } from '../script/launch.js'
import { Agent } from 'node:http'
import type { RecordLog } from '../src/types/ports.js'
import { SharedLog } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const agent = new Agent()
const pace = { pause: 1, wait: 100 }
const ignore: RecordListener = { record: () => {}, confirmed: () => {} }

interface Case {
  readonly name: string
  readonly stream: 'operators' | 'instances'
  /** Key that is written, read by the entry, and removed before its source starts. */
  readonly key: string
  /** Lets the entry read what its source has. */
  readonly read: (entry: RecordFollower, address: string, stream: 'operators' | 'instances') => Promise<void>
}

const poll: Case['read'] = async (entry, address, stream) => {
  const { next } = entry.state
  const page = await new FedRecordLog(address, stream, agent, 'peer', 'entry').read(stream, next, 0)
  if (page.kind === 'records') entry.receiveRecords(page, next)
}

const fetchByGossip: Case['read'] = async (entry, address, stream) => {
  const { next } = entry.state
  const fetchFrom = async (from: LogPosition): Promise<void> => { entry.receiveRecords(await fetchRecords(address, stream, from, agent, 'peer', 'entry'), from) }
  await fetchFrom(next).catch(async (error: unknown) => {
    if (!(error instanceof UnknownRemovalsError)) throw error
    await fetchFrom(beforeLog)
  })
}

const cases: readonly Case[] = [
  { name: 'a poll, an upstream that left', stream: 'instances', key: 'left', read: poll },
  { name: 'a fetch after gossip, an upstream that left', stream: 'instances', key: 'left', read: fetchByGossip },
  { name: 'a poll, an evacuation that ended', stream: 'operators', key: 'evacuate/home', read: poll }
]

for (const { name, stream, key, read } of cases) {
  test(`record gaps: a removal is not lost when the source started after it: ${name}`, async t => {
    const log = new SharedLog('home')
    log.append(stream, key, Buffer.from('{}'))
    log.append(stream, 'other', Buffer.from('{}'))
    const entry = follow(t, log.readerIn('home', 'entry'), stream)
    await eventually(async () => entry.state.next.offset === 2)
    entry.stop()
    log.unreachableFrom.add('entry')
    log.append(stream, key, undefined)
    log.append(stream, 'later', Buffer.from('{}'))
    const source = follow(t, log.readerIn('home', 'source'), stream)
    await eventually(async () => source.state.next.offset === 4)
    await read(entry, await serve(t, source), stream)
    const known = entry.newest.filter(({ value }) => value !== undefined).map(record => record.key).sort()
    // An entry that has advanced past the removal never reads it anywhere else.
    if (entry.state.next.offset >= 4) t.same(known, ['later', 'other'])
    else t.ok(entry.state.next.offset <= 2, 'the entry still reads the removal later')
  })
}

function follow (t: Test, log: RecordLog, stream: 'operators' | 'instances'): RecordFollower {
  const follower = new RecordFollower(log, stream, pace, ignore)
  follower.run().catch(error => { t.error(error) })
  t.teardown(() => { follower.stop() })
  return follower
}

/** Address at which the records of a follower are served. */
async function serve (t: Test, follower: RecordFollower): Promise<string> {
  const feed = new RecordFeed({ operators: follower, instances: follower }, () => '')
  const server = createServer((incoming, response) => { feed.serve(incoming.url ?? '', response).catch(error => { t.error(error) }) })
  const address = freshAddress()
  await listenOn(server, address)
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return address
}
