/** Odd entries that another writer left among those of the upstreams, or the log's pages, end no entry, and later records are followed; see also platform-records. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'tap'
import { PlatformRecords } from '../platform/records.js'
import { PlatformStore } from '../platform/store.js'
import { decodeFedRecords } from '../src/nodes/record-feed.js'
import { maximumAnswerBytes } from '../src/transports/http-call.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { versionInForce } from './fakes/entry-group.js'
import { Fleet, answerCompletely, dataCentre, isServed } from './fakes/plain-fleet.js'
import { eventually } from './fakes/test-cluster.js'
import { formatPosition, isValidPosition } from '../src/core/log-position.js'
import { at } from './fakes/positions.js'

const levels = 200_000
const nested = '['.repeat(levels) + ']'.repeat(levels)
const record = (fields: string, address = '127.0.0.1:1'): string => `{"service":"plain","address":"${address}","zone":"${dataCentre}","state":"ready","slots":4,"born":1000${fields}}`

const oddEntries: readonly { readonly name: string, readonly value: string }[] = [
  { name: 'nested deeply in an unknown field', value: record(`,"note":${nested}`) },
  { name: 'nested deeply in its list of models', value: record(`,"model-list":${nested}`) },
  { name: 'nested deeply in a version', value: record(`,"model-list":[{"name":"m","version":${nested}}]`) },
  { name: 'that opens three million lists', value: '['.repeat(3_000_000) },
  { name: 'with numbers too large', value: record(',"slots":1e999,"cold-left-ms":1e300,"sequence":1e300,"born":1e300') },
  { name: 'cold for longer than a timer can wait', value: record(',"cold-left-ms":1e300') },
  { name: 'with a version too large', value: record(',"model-list":[{"name":"m","version":1e300}]') },
  { name: 'with a port out of range', value: record('', '127.0.0.1:99999') },
  { name: 'with an address of no host', value: record('', '255.255.255.255:80') },
  { name: 'whose fields are of other types', value: '{"service":[],"address":{},"zone":7,"state":null,"slots":"4","model-list":{"a":1}}' },
  { name: 'of bytes that are no text', value: '\u0000\u0001\ufffd' }
]

for (const { name, value } of oddEntries) {
  test(`odd entry: one ${name}`, async t => {
    const fleet = new Fleet(answerCompletely, 2)
    await fleet.start()
    const entry = await fleet.startEntry()
    await eventually(() => isServed(entry))
    fleet.log.append('instances', 'i-odd', Buffer.from(value))
    await sleepUntil(monotonicNow() + 300)
    const served = await Promise.all(Array.from({ length: 30 }, (_, index) => isServed(entry, `id-${index}`)))
    t.equal(served.filter(isIt => isIt).length, served.length, 'all callers are served')
    fleet.writeUpstream('draining')
    await eventually(async () => !await isServed(entry, 'after'))
    fleet.writeUpstream('ready', 'i-2')
    await eventually(async () => await isServed(entry, 'later'))
    t.equal(await versionInForce(entry), 1)
    await fleet.stop()
  })
}

test('odd entry: no record makes its decoder throw', async t => {
  const records = new PlatformRecords()
  for (const { value } of oddEntries) {
    for (const key of ['config', 'version/m', 'evacuate/a', 'i-odd', '']) {
      t.doesNotThrow(() => records.operatorRecord(key, Buffer.from(value)))
      t.doesNotThrow(() => records.upstream(key, Buffer.from(value)))
    }
  }
})

const oddPages: readonly { readonly name: string, readonly body: string }[] = [
  { name: 'nested deeply', body: nested },
  { name: 'with an offset beyond all whole numbers', body: '{"entries":[],"has-more":false,"end-offset":1e300}' },
  { name: 'with an end that is no number', body: '{"entries":[],"has-more":false,"end-offset":"7"}' },
  { name: 'whose entries are no list', body: '{"entries":{"a":1},"has-more":false,"end-offset":7}' },
  { name: 'that is followed by itself for ever', body: '{"entries":[{"key":"a","value":"","offset":1}],"has-more":true,"end-offset":7}' },
  { name: 'of no text', body: '\u0000' }
]

for (const { name, body } of oddPages) {
  test(`odd page of the log: one ${name}`, async t => {
    let pages = 0
    const server: Server = createServer((_incoming, response) => {
      pages += 1
      response.end(body)
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const store = new PlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    const newest = await store.newest('instances').catch(() => undefined)
    t.ok(newest === undefined || isValidPosition(newest.next), `it is refused, or continues at a whole number: ${newest === undefined ? 'refused' : formatPosition(newest.next)}`)
    t.ok(pages <= 100, `${pages} pages were read`)
    const page = await store.read('instances', at(0), monotonicNow(), 10).catch(() => undefined)
    t.ok(page === undefined || page.kind === 'expired' || isValidPosition(page.next))
    store.close()
    server.close()
    server.closeAllConnections()
  })
}

test('odd page of the log: pages without end are given up before they take the memory of the process', async t => {
  const value = Buffer.alloc(3 << 20).toString('base64')
  let sentBytes = 0
  const server: Server = createServer((_incoming, response) => {
    const body = JSON.stringify({ entries: [{ key: `key-${sentBytes}`, value, offset: 1 }], 'has-more': true, 'end-offset': 7 })
    sentBytes += body.length
    response.end(body)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const store = new PlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  await t.rejects(store.newest('instances'), /exceed 33554432 bytes/)
  t.ok(sentBytes <= 2 * maximumAnswerBytes.records, `${sentBytes} bytes were read`)
  store.close()
  server.close()
  server.closeAllConnections()
})

const oddFeeds: readonly { readonly name: string, readonly body: string }[] = [
  { name: 'continues beyond all whole numbers', body: '{"records":[],"next":1e300}' },
  { name: 'continues nowhere', body: '{"records":[],"next":null}' },
  { name: 'holds a record beyond all whole numbers', body: '{"records":[{"key":"a","value":"","offset":1e300}],"next":7}' },
  { name: 'is of an era that is no whole number', body: '{"records":[],"next":7,"era":"2"}' },
  { name: 'is of an era below zero', body: '{"records":[],"next":7,"era":-1}' },
  { name: 'is nested deeply', body: nested }
]

for (const { name, body } of oddFeeds) {
  test(`odd answer of another entry: one that ${name} is refused`, async t => { t.throws(() => decodeFedRecords(Buffer.from(body), {})) })
}
