/**
 * Stand-in of the platform's metadata store: keyed topics with one partition, `log-newest`, `log-read` with long polls, and
 * `log-append`, as PROTOCOL.md describes them. Servers renew their entries with `beat`; an entry is removed after three
 * heartbeat intervals of silence. `drill` brings the store back from an older copy with a higher `Store-Era`.
 */
import { createServer } from 'node:http'

/** @typedef {{ key: string, value: Buffer | undefined }} StoredRecord */

export class Store {
  /** Records by topic; the index is the offset. */
  topics = new Map()
  era = 1
  isDown = false
  /** Last heartbeat of each server and the entry that it wrote. */
  beats = new Map()
  waiting = new Set()
  sockets = new Set()

  constructor (heartbeatMilliseconds = 1200) {
    this.heartbeatMilliseconds = heartbeatMilliseconds
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.keepAliveTimeout = 60_000
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
    this.timer = setInterval(() => { this.removeLapsed() }, 100)
  }

  async listen (address) {
    const [host, port] = address.split(':')
    await new Promise(resolve => { this.server.listen(Number(port), host, resolve) })
  }

  close () {
    clearInterval(this.timer)
    for (const wake of [...this.waiting]) wake()
    this.server.close()
    this.server.closeAllConnections()
  }

  recordsOf (topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, [])
    return this.topics.get(topic)
  }

  /** Appends a record; an undefined value drops the key. Returns its offset. */
  put (topic, key, value) {
    const records = this.recordsOf(topic)
    records.push({ key, value: value === undefined ? undefined : Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)) })
    for (const wake of [...this.waiting]) wake()
    return records.length - 1
  }

  /** A server's heartbeat with its entry. */
  beat (id, entry) {
    if (this.isDown) return
    this.beats.set(id, { at: Date.now(), isListed: true })
    this.put('keyed.servers', id, entry)
  }

  /** Removes a server's entry. */
  remove (id) {
    if (this.beats.get(id)?.isListed === true) this.put('keyed.servers', id, undefined)
    this.beats.delete(id)
  }

  removeLapsed () {
    if (this.isDown) return
    for (const [id, { at }] of this.beats) if (Date.now() - at > 3 * this.heartbeatMilliseconds) this.remove(id)
  }

  /** Ends of all topics, for `drill`. */
  copy () {
    return new Map([...this.topics].map(([topic, records]) => [topic, records.length]))
  }

  /** The store is away: it closes its connections and accepts nothing. */
  goAway () {
    this.isDown = true
    for (const socket of this.sockets) socket.destroy()
  }

  /** It comes back from a copy: records after the copied ends are gone, and the era rises. */
  comeBackFrom (copy) {
    for (const [topic, records] of this.topics) records.length = Math.min(records.length, copy.get(topic) ?? 0)
    this.era += 1
    for (const beat of this.beats.values()) beat.at = Date.now()
    this.isDown = false
  }

  handle (request, response) {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('end', () => {
      if (this.isDown) {
        request.socket.destroy()
        return
      }
      setTimeout(() => { this.answer(request, response, Buffer.concat(chunks)) }, 2)
    })
  }

  answer (request, response, body) {
    if (this.isDown) {
      request.socket.destroy()
      return
    }
    response.setHeader('Store-Era', String(this.era))
    const url = new URL(request.url, 'http://store')
    const topic = url.searchParams.get('topic') ?? ''
    if (url.pathname === '/log-newest') this.answerNewest(response, topic)
    else if (url.pathname === '/log-read') this.answerRead(response, topic, url.searchParams, this.era, Date.now() + Number(url.searchParams.get('wait-ms') ?? 0))
    else if (url.pathname === '/log-append' && request.method === 'POST') this.answerAppend(response, topic, body)
    else response.writeHead(404).end()
  }

  answerNewest (response, topic) {
    const newest = new Map()
    this.recordsOf(topic).forEach((record, offset) => {
      newest.delete(record.key)
      if (record.value !== undefined) newest.set(record.key, { key: record.key, value: record.value.toString('base64'), offset })
    })
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ entries: [...newest.values()].sort((left, right) => left.key < right.key ? -1 : 1), 'has-more': false, 'end-offset': this.recordsOf(topic).length }))
  }

  answerRead (response, topic, query, era, until) {
    const from = Number(query.get('from'))
    const limit = Number(query.get('fetch-limit') ?? 1024)
    const records = this.recordsOf(topic)
    if (era !== this.era || from > records.length) {
      response.writeHead(410, { 'content-type': 'application/json' }).end(JSON.stringify({ 'first-offset': 0 }))
      return
    }
    if (from === records.length && Date.now() < until && !this.isDown) {
      const wake = () => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        if (this.isDown) response.socket?.destroy()
        else this.answerRead(response, topic, query, era, until)
      }
      const timer = setTimeout(wake, Math.max(1, until - Date.now()))
      this.waiting.add(wake)
      return
    }
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(records.length), 0)
    const parts = records.slice(from, from + limit).map(({ key, value }) => {
      const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value ?? Buffer.alloc(0)])
      const length = Buffer.alloc(4)
      length.writeUInt32BE(content.length)
      return Buffer.concat([length, content])
    })
    response.writeHead(200, { 'content-type': 'application/octet-stream' })
    response.end(Buffer.concat([head, ...parts]))
  }

  answerAppend (response, topic, body) {
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      response.writeHead(403).end()
      return
    }
    const offset = this.recordsOf(topic).length
    for (let position = 0; position + 4 <= body.length;) {
      const length = body.readUInt32BE(position)
      const content = body.subarray(position + 4, position + 4 + length)
      const keyLength = content[0] ?? 0
      const value = content.subarray(1 + keyLength)
      this.put(topic, content.toString('utf8', 1, 1 + keyLength), value.length === 0 ? undefined : Buffer.from(value).toString())
      position += 4 + length
    }
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ offset, 'end-offset': this.recordsOf(topic).length }))
  }
}
