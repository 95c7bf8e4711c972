/**
 * Links between the data centres of nodes that run in one process: all bytes from one data centre to another, of connections
 * and of datagrams, share one rate, one queue and one delay; an instance may have a link of its own besides.
 */
import { AsyncLocalStorage } from 'node:async_hooks'
import { Socket as DatagramSocket } from 'node:dgram'
import { connect, createServer, Socket, type AddressInfo, type Server } from 'node:net'
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'

/** Bytes that one connection may have under way. */
const windowBytes = 65_536
/** Bytes of a connection that are queued at once; those of other connections come between. */
const segmentBytes = 8192
/** Bytes of each packet of a handshake, and overhead of a datagram. */
const packetBytes = 60
/** Queue at which datagrams are lost, milliseconds. */
const maximumDatagramQueueMilliseconds = 1000

/** Where a node runs. */
export interface Place {
  readonly dataCentre: string
  readonly ip: string
}

/** Rates of a network. */
export interface NetworkOptions {
  /** Rate of the link from one data centre to another, bytes per second. */
  readonly bytesPerSecond: number
  readonly delayMilliseconds: number
}

/** One direction of a link; what it carries leaves in the order of arrival. */
class Pipe {
  /** Bytes carried so far. */
  bytes = 0
  private freeAt = 0

  constructor (private readonly bytesPerSecond: number, private readonly delayMilliseconds: number) {}

  /** Time until a packet that arrives now has been delivered, milliseconds. */
  get transitMilliseconds (): number {
    return Math.max(0, this.freeAt - monotonicNow()) + this.delayMilliseconds
  }

  /** Time at which bytes that arrive at `from` will have been delivered; both in milliseconds of the monotonic clock. */
  carry (bytes: number, from: number): number {
    this.bytes += bytes
    this.freeAt = Math.max(this.freeAt, from) + bytes / this.bytesPerSecond * 1000
    return this.freeAt + this.delayMilliseconds
  }
}

type Connect = (this: Socket, ...words: readonly unknown[]) => Socket
type Send = (this: DatagramSocket, bytes: Buffer, port: number, ip: string) => void

/** The network; calls of nodes that `run` started go through it until `close`. */
export class SharedNetwork {
  private readonly places = new AsyncLocalStorage<Place>()
  private readonly dataCentres = new Map<string, string>()
  private readonly links = new Map<string, Pipe>()
  private readonly instanceLinks = new Map<string, { readonly up: Pipe, readonly down: Pipe }>()
  private readonly sockets = new Set<Socket>()
  private readonly server: Server
  private readonly connect = Socket.prototype.connect
  private readonly send = DatagramSocket.prototype.send
  private isClosed = false
  private isFilled = false

  private constructor (private readonly options: NetworkOptions) {
    this.server = createServer({ allowHalfOpen: true }, socket => { this.accept(socket) })
  }

  /** Opens a network and directs the connections and datagrams of this process through it. */
  static async open (options: NetworkOptions): Promise<SharedNetwork> {
    const network = new SharedNetwork(options)
    await new Promise<void>(resolve => { network.server.listen(0, '127.0.0.1', resolve) })
    network.install()
    return network
  }

  /** Places an address, `ip` or `ip:port`, in a data centre; `bytesPerSecond` is the rate of the instance's own link. */
  place (address: string, dataCentre: string, bytesPerSecond?: number): void {
    this.dataCentres.set(address, dataCentre)
    if (bytesPerSecond !== undefined) this.instanceLinks.set(address, { up: new Pipe(bytesPerSecond, 0), down: new Pipe(bytesPerSecond, 0) })
  }

  /** Starts a node; its calls come from `place`. */
  run<Result> (place: Place, start: () => Promise<Result>): Promise<Result> {
    return this.places.run(place, start)
  }

  /** Bytes that the link from one data centre to another has carried so far. */
  bytesBetween (from: string, to: string): number {
    return this.linkBetween(from, to).bytes
  }

  /** Time that a packet from one data centre to another takes now, milliseconds. */
  transitMilliseconds (from: string, to: string): number {
    return this.linkBetween(from, to).transitMilliseconds
  }

  /** Place of the node whose code calls this; undefined outside of nodes. */
  get callingPlace (): Place | undefined {
    return this.places.getStore()
  }

  /** Fills the link from one data centre to another with transfers, each of which is repeated once it is delivered, until `close`. */
  fill (from: string, to: string, transfers: number, bytes: number): void {
    const link = this.linkBetween(from, to)
    const repeat = async (): Promise<void> => {
      while (!this.isClosed && this.isFilled) await sleepUntil(link.carry(bytes, monotonicNow()))
    }
    this.isFilled = true
    for (let count = 0; count < transfers; count += 1) repeat().catch(() => {})
  }

  /** Ends the transfers that `fill` began. */
  stopFilling (): void {
    this.isFilled = false
  }

  close (): void {
    this.isClosed = true
    Socket.prototype.connect = this.connect
    DatagramSocket.prototype.send = this.send
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private linkBetween (from: string, to: string): Pipe {
    const name = `${from}/${to}`
    const known = this.links.get(name) ?? new Pipe(this.options.bytesPerSecond, this.options.delayMilliseconds)
    this.links.set(name, known)
    return known
  }

  private dataCentreOf (ip: string, port: number): string | undefined {
    return this.dataCentres.get(`${ip}:${port}`) ?? this.dataCentres.get(ip)
  }

  /** Pipes from one address to another; none if nothing narrow lies between them. */
  private route (from: Place, to: Place): readonly Pipe[] {
    const up = this.instanceLinks.get(from.ip)?.up
    const down = this.instanceLinks.get(to.ip)?.down
    const between = from.dataCentre === to.dataCentre ? undefined : this.linkBetween(from.dataCentre, to.dataCentre)
    return [up, between, down].filter(pipe => pipe !== undefined)
  }

  private install (): void {
    const network = this
    const connectOriginal = this.connect as unknown as Connect
    const sendOriginal = this.send as unknown as Send
    const connectThrough: Connect = function (...words) {
      const from = network.places.getStore()
      const first = words[0]
      const options = (Array.isArray(first) ? first[0] : first) as { readonly host?: string, readonly port?: number | string } | undefined
      const [ip, port] = [options?.host ?? '', Number(options?.port)]
      const dataCentre = network.dataCentreOf(ip, port)
      if (from === undefined || dataCentre === undefined || network.route(from, { dataCentre, ip }).length === 0) return connectOriginal.call(this, ...words)
      const { port: proxyPort } = network.server.address() as AddressInfo
      connectOriginal.call(this, { host: '127.0.0.1', port: proxyPort })
      this.write(`${from.dataCentre} ${from.ip} ${dataCentre} ${ip} ${port}\n`)
      return this
    }
    const sendThrough: Send = function (bytes, port, ip) {
      const from = network.places.getStore()
      const dataCentre = network.dataCentreOf(ip, port)
      const pipes = from === undefined || dataCentre === undefined ? [] : network.route(from, { dataCentre, ip })
      if (pipes.length === 0) sendOriginal.call(this, bytes, port, ip)
      else network.carryDatagram(pipes, bytes.length, () => { sendOriginal.call(this, bytes, port, ip) })
    }
    Socket.prototype.connect = connectThrough as unknown as typeof Socket.prototype.connect
    DatagramSocket.prototype.send = sendThrough as unknown as typeof DatagramSocket.prototype.send
  }

  private carryDatagram (pipes: readonly Pipe[], bytes: number, deliver: () => void): void {
    if (pipes.some(pipe => pipe.transitMilliseconds > maximumDatagramQueueMilliseconds)) return
    carryThrough(pipes, bytes + packetBytes).then(() => {
      if (!this.isClosed) deliver()
    }).catch(() => {
      // The sender has closed its socket.
    })
  }

  /** Reads which way a connection takes from its first line, then joins both ends. */
  private accept (near: Socket): void {
    near.on('error', () => {})
    let received = Buffer.alloc(0)
    const read = (part: Buffer): void => {
      received = Buffer.concat([received, part])
      const end = received.indexOf('\n')
      if (end === -1) return
      near.off('data', read)
      near.pause()
      const [fromDataCentre = '', fromIp = '', dataCentre = '', ip = '', port = ''] = received.subarray(0, end).toString().split(' ')
      if (received.length > end + 1) near.unshift(received.subarray(end + 1))
      const from = { dataCentre: fromDataCentre, ip: fromIp }
      const to = { dataCentre, ip }
      this.join(near, Number(port), ip, this.route(from, to), this.route(to, from)).catch(() => { near.destroy() })
    }
    near.on('data', read)
  }

  private async join (near: Socket, port: number, ip: string, there: readonly Pipe[], back: readonly Pipe[]): Promise<void> {
    await carryThrough([...there, ...back], packetBytes)
    if (near.destroyed || this.isClosed) return
    const far = connect({ port, host: ip, allowHalfOpen: true })
    for (const socket of [near, far]) {
      this.sockets.add(socket)
      socket.once('close', () => { this.sockets.delete(socket) })
    }
    far.on('error', () => { near.resetAndDestroy() })
    near.on('error', () => { far.resetAndDestroy() })
    pump(near, far, there, back)
    pump(far, near, back, there)
  }
}

/** Resolves when bytes have been delivered through several pipes, one after another. */
async function carryThrough (pipes: readonly Pipe[], bytes: number): Promise<void> {
  await sleepUntil(pipes.reduce((from, pipe) => pipe.carry(bytes, from), monotonicNow()))
}

/** Passes the bytes of one direction on in order, as far as the window of the connection allows. */
function pump (from: Socket, to: Socket, pipes: readonly Pipe[], back: readonly Pipe[]): void {
  let underway = 0
  let delivered = Promise.resolve()
  const acknowledge = (bytes: number): void => {
    setTimeout(() => {
      underway -= bytes
      if (underway < windowBytes) from.resume()
    }, back.reduce((sum, pipe) => sum + pipe.transitMilliseconds, 0))
  }
  const deliver = (segment: Buffer): void => {
    const carried = carryThrough(pipes, segment.length)
    delivered = delivered.then(() => carried).then(() => {
      if (!to.destroyed) to.write(segment)
      acknowledge(segment.length)
    })
  }
  from.on('data', (part: Buffer) => {
    underway += part.length
    if (underway >= windowBytes) from.pause()
    for (let start = 0; start < part.length; start += segmentBytes) deliver(part.subarray(start, start + segmentBytes))
  })
  from.on('end', () => { delivered = delivered.then(() => { to.end() }) })
  from.on('close', () => { delivered = delivered.then(() => { to.destroy() }) })
  from.resume()
}
