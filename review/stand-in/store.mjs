/** Stand-in of the platform's store: keyed topics with one partition, read by `log-read` and `log-newest`. */
import { createServer } from 'node:http'

const defaultFetchLimit = 1024
const maximumEntries = 500
const answerMilliseconds = 4

/** Frames one record as it is stored: length, length of the key, key, value. */
function frame (key, value) {
  const keyBytes = Buffer.from(key)
  const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value ?? Buffer.alloc(0)])
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

/** The store, at one address. In a drill it is away for a moment and comes back from an older copy, with a higher `Store-Era`. */
export class Store {
  topics = new Map()
  waiting = new Set()
  era = 1
  isAway = false

  constructor (ip) {
    this.ip = ip
    this.address = `${ip}:8007`
  }

  listen () {
    this.server = createServer((incoming, response) => { setTimeout(() => { this.answer(incoming, response) }, answerMilliseconds) })
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(8007, this.ip, resolve)
    })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  recordsOf (topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, [])
    return this.topics.get(topic)
  }

  /** Appends a record; without a value the key is dropped. */
  put (topic, key, value) {
    const records = this.recordsOf(topic)
    records.push({ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)), at: performance.now() })
    for (const wake of [...this.waiting]) wake()
    return records.length - 1
  }

  /** Answers nothing from now on, and closes all connections. */
  goAway () {
    this.isAway = true
    for (const wake of [...this.waiting]) wake()
    this.server.closeAllConnections()
  }

  /** Answers again, from a copy that was made at `copiedAt`: what was written since is gone, and its offsets are given out again. */
  comeBack (copiedAt) {
    for (const records of this.topics.values()) {
      const end = records.findIndex(({ at }) => at > copiedAt)
      if (end !== -1) records.splice(end)
    }
    this.era += 1
    this.isAway = false
  }

  answer (incoming, response) {
    if (this.isAway) {
      response.destroy()
      return
    }
    response.setHeader('store-era', String(this.era))
    const url = new URL(incoming.url, 'http://store')
    const topic = url.searchParams.get('topic') ?? ''
    if (url.pathname === '/log-read') this.read(topic, url.searchParams, response)
    else if (url.pathname === '/log-newest') this.newest(topic, url.searchParams, response)
    else if (url.pathname === '/log-append') this.append(topic, incoming, response)
    else response.writeHead(404).end()
  }

  append (topic, incoming, response) {
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      response.writeHead(403).end()
      return
    }
    const parts = []
    incoming.on('data', part => { parts.push(part) })
    incoming.on('end', () => {
      const bytes = Buffer.concat(parts)
      const records = this.recordsOf(topic)
      const offset = records.length
      for (let at = 0; at < bytes.length;) {
        const length = bytes.readUInt32BE(at)
        const content = bytes.subarray(at + 4, at + 4 + length)
        const keyLength = content.readUInt8(0)
        const value = content.subarray(1 + keyLength)
        records.push({ key: content.toString('utf8', 1, 1 + keyLength), value: value.length === 0 ? undefined : Buffer.from(value), at: performance.now() })
        at += 4 + length
      }
      for (const wake of [...this.waiting]) wake()
      sendJson(response, { offset, 'end-offset': records.length })
    })
  }

  read (topic, query, response) {
    const records = this.recordsOf(topic)
    const from = Number(query.get('from'))
    if (from > records.length) {
      sendJson(response, { 'first-offset': 0 }, 410)
      return
    }
    const limit = Number(query.get('fetch-limit') ?? defaultFetchLimit)
    const finish = () => {
      clearTimeout(timer)
      this.waiting.delete(finish)
      if (this.isAway) {
        response.destroy()
        return
      }
      const head = Buffer.alloc(16)
      head.writeBigUInt64BE(BigInt(records.length), 0)
      const body = Buffer.concat([head, ...records.slice(from, from + limit).map(({ key, value }) => frame(key, value))])
      response.writeHead(200, { 'content-length': body.length }).end(body)
    }
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait-ms') ?? 0)))
    if (from < records.length) finish()
    else this.waiting.add(finish)
  }

  newest (topic, query, response) {
    const records = this.recordsOf(topic)
    const after = query.get('after') ?? ''
    const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]))
    const entries = [...newest.values()].filter(({ key, value }) => value !== undefined && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
    const page = entries.slice(0, maximumEntries).map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }))
    sendJson(response, { entries: page, 'has-more': entries.length > page.length, 'end-offset': records.length })
  }
}

/** Sends JSON with status 200. */
export function sendJson (response, body, status = 200) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
}
