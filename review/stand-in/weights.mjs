/** Stand-ins of the origin of weights and of model servers, with the protocol of the platform's pages. */
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { sendJson } from './store.mjs'

export const model = 'daka510000'
export const chunkCount = 96
export const chunkBytes = 24_576
export const layerCount = 16
const warmMilliseconds = 300
const slots = 16
const queued = 32
const eventMilliseconds = 40
const eventCount = 14

const pieces = new Map()

/** The bytes of a piece: they depend on its version and position. */
export function pieceOf (version, position) {
  const key = `${version}/${position}`
  if (!pieces.has(key)) {
    const seed = createHash('sha256').update(key).digest()
    pieces.set(key, Buffer.concat(Array.from({ length: chunkBytes / seed.length }, (_, index) => createHash('sha256').update(seed).update(String(index)).digest())))
  }
  return pieces.get(key)
}

/** The digests of a version, as its manifest lists them. */
export function digestsOf (version) {
  return Array.from({ length: chunkCount }, (_, position) => createHash('sha256').update(pieceOf(version, position)).digest('hex'))
}

function listen (server, port, ip) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })
}

/** The origin; `spoil` may change the body of an answer before it is sent. */
export class Origin {
  newestVersion = 1
  answers = 0

  constructor (deployment, spoil = body => body) {
    Object.assign(this, { deployment, spoil, ip: deployment.newIp() })
    this.address = `${this.ip}:8006`
  }

  listen () {
    this.server = createServer((incoming, response) => { this.answer(incoming, response) })
    return listen(this.server, 8006, this.ip)
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  answer (incoming, response) {
    const url = new URL(incoming.url, 'http://origin')
    const version = Number(url.searchParams.get('version') ?? this.newestVersion)
    this.answers += 1
    if (version > this.newestVersion) response.writeHead(404).end()
    else if (version <= this.newestVersion - 2) response.writeHead(410).end()
    else if (url.pathname === `/manifest/${model}`) this.sendManifest(version, response)
    else if (url.pathname === `/piece/${model}`) this.send(pieceOf(version, Number(url.searchParams.get('sample-count'))), 'application/octet-stream', response)
    else response.writeHead(404).end()
  }

  sendManifest (version, response) {
    const sound = Buffer.from(JSON.stringify({ 'model-id': model, version, 'chunk-bytes': chunkBytes, layers: layerCount, digests: digestsOf(version) }))
    const sent = this.spoil(sound, version)
    const spoilt = [...sound].flatMap((byte, index) => byte === sent[index] ? [] : [index])
    this.deployment.record('origin sends a manifest', { version, bytes: sent.length, spoiltBytes: spoilt.length, spoiltAt: spoilt.slice(0, 4), answersSoFar: this.answers })
    this.send(sent, 'application/json', response)
  }

  send (body, type, response) {
    response.writeHead(200, { 'content-type': type, 'content-length': body.length }).end(body)
  }
}

/** A model server with its staged pieces; it loads what is staged when it accepts an order, and does not check it. */
export class Engine {
  service = 'huvo11a'
  staged = new Map()
  loaded = undefined
  isBusy = false
  sequence = 0
  running = new Map()
  isOn = false
  /** Orders whose answers are still to be lost: the order is carried out, and its connection reset. */
  answersToLose = 0

  constructor (deployment, store, id, zone) {
    Object.assign(this, { deployment, store, id, zone, ip: deployment.newIp() })
    this.address = `${this.ip}:8001`
  }

  /** Starts the server; with `version` its pieces are staged and loaded. */
  async start (version) {
    this.born = Date.now()
    this.staged.clear()
    this.loaded = undefined
    this.isBusy = false
    this.sequence = 0
    if (version !== undefined) {
      for (let position = 0; position < chunkCount; position += 1) this.staged.set(position, pieceOf(version, position))
      this.loaded = this.judge(version)
    }
    this.server = createServer((incoming, response) => { this.serve(incoming, response) })
    await listen(this.server, 8001, this.ip)
    this.isOn = true
    this.announce()
  }

  /** Loses power: connections are reset, and nothing that it held remains. */
  losePower () {
    this.isOn = false
    this.server.close()
    for (const { socket } of this.running.keys()) socket?.resetAndDestroy()
    this.running.clear()
    this.server.closeAllConnections()
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  announce () {
    if (!this.isOn) return
    this.store.put('keyed.servers', this.id, { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots, state: 'ready', 'cold-left-ms': 0, phase: 'both', 'model-list': this.modelList(), ...this.layers(), sequence: this.sequence, born: this.born })
  }

  modelList () {
    return this.loaded === undefined ? [] : [{ name: model, version: this.loaded.version, 'adapter-list': [] }]
  }

  layers () {
    return this.loaded === undefined ? { layers: { from: 0, target: 0, version: 0 } } : { layers: { from: 0, target: layerCount, version: this.loaded.version } }
  }

  /** The staged pieces as a loaded version, with the positions at which they are missing or not of that version. */
  judge (version) {
    const wrong = Array.from({ length: chunkCount }, (_, position) => position).filter(position => this.staged.get(position)?.equals(pieceOf(version, position)) !== true)
    return { version, wrong }
  }

  serve (incoming, response) {
    const url = new URL(incoming.url, 'http://engine')
    if (url.pathname === '/report') this.report(response)
    else if (url.pathname === `/stage-put/${model}`) this.stage(Number(url.searchParams.get('sample-count')), incoming, response)
    else if (url.pathname === `/stage-get/${model}`) this.sendStaged(url.searchParams.get('sample-count'), response)
    else if (url.pathname === '/order') this.order(incoming, response)
    else this.run(incoming, response)
  }

  report (response) {
    sendJson(response, { born: this.born, phase: 'both', 'model-list': this.modelList(), ...this.layers(), busy: this.isBusy, sequence: this.sequence, queued: Math.max(0, this.running.size - slots), active: Math.min(slots, this.running.size), 'kv-in-use': 0, 'kv-size': 317_000, 'kv-handles': 0 })
  }

  stage (position, incoming, response) {
    const parts = []
    incoming.on('data', part => { parts.push(part) })
    incoming.on('end', () => {
      this.staged.set(position, Buffer.concat(parts))
      response.writeHead(200, { 'content-length': 0 }).end()
    })
  }

  sendStaged (position, response) {
    if (position === null) sendJson(response, { held: [...this.staged.keys()] })
    else if (this.staged.has(Number(position))) response.writeHead(200, { 'content-length': this.staged.get(Number(position)).length }).end(this.staged.get(Number(position)))
    else response.writeHead(404, { 'content-length': 0 }).end()
  }

  order (incoming, response) {
    const parts = []
    incoming.on('data', part => { parts.push(part) })
    incoming.on('end', () => {
      const order = JSON.parse(Buffer.concat(parts).toString())
      const refused = order.op !== 'start' ? 400 : this.isBusy || (order.precondition !== undefined && order.precondition !== this.sequence) ? 409 : this.loaded?.version === order.version ? 200 : undefined
      const next = refused === undefined ? this.judge(order.version) : undefined
      this.deployment.record('order at an engine', { engine: this.id, order, status: refused ?? 202, wrongPieces: next?.wrong.length })
      if (next !== undefined && this.answersToLose > 0) {
        this.answersToLose -= 1
        this.deployment.record('the answer to an order is lost', { engine: this.id })
        response.socket?.resetAndDestroy()
      } else response.writeHead(refused ?? 202, { 'content-length': 0 }).end()
      if (next !== undefined) this.load(next, order['switch-mode'])
    })
  }

  /** Loads after what is running, without accepting anything new. */
  load (next, mode) {
    this.isBusy = true
    this.sequence += 1
    if (mode === 'truncate') for (const response of [...this.running.keys()]) response.destroy()
    const born = this.born
    const timer = setInterval(() => {
      if (this.running.size > 0 && this.isOn) return
      clearInterval(timer)
      setTimeout(() => {
        if (this.born !== born || !this.isOn) return
        this.loaded = next
        this.isBusy = false
        this.deployment.record('engine has loaded', { engine: this.id, version: next.version, wrongPieces: next.wrong.length })
        this.announce()
      }, warmMilliseconds)
    }, 10)
  }

  /** Runs a request as a stream; each event says on which weights it was made. */
  run (incoming, response) {
    const { headers } = incoming
    const id = headers['x-attempt-id']
    incoming.resume()
    const isOther = headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.id
    const isOtherVersion = this.loaded === undefined || (headers['x-expect-version'] !== undefined && Number(headers['x-expect-version']) !== this.loaded.version)
    if (isOther || isOtherVersion) {
      response.writeHead(421, { 'x-attempt-id': id, 'x-instance-id': this.id, 'content-length': 0 }).end()
      return
    }
    if (this.isBusy || this.running.size >= slots + queued) {
      response.writeHead(503, { 'x-attempt-id': id, 'x-not-executed': '1', 'content-length': 0 }).end()
      return
    }
    const { version, wrong } = this.loaded
    this.running.set(response, id)
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-attempt-id': id, 'x-server-stamp': `${this.id}.${id}`, 'x-weight-versions': String(version), 'x-server-load': `${this.running.size},0,${slots}` })
    let last = Number(headers['last-event-id'] ?? 0)
    this.deployment.record('engine runs a request', { engine: this.id, id, version, wrongPieces: wrong.length, after: last })
    const timer = setInterval(() => {
      last += 1
      if (last <= eventCount) response.write(`id: ${last}\ndata: token ${last} of version ${version}${wrong.length > 0 ? ` made with ${wrong.length} wrong pieces` : ''}\n\n`)
      if (last >= eventCount) response.end()
    }, eventMilliseconds)
    response.on('close', () => {
      clearInterval(timer)
      this.running.delete(response)
    })
  }
}
