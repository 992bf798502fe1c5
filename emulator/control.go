package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/platform"
	"egretdrum.example/platform/emulated"
	"egretdrum.example/resource"
)

// controlHandler returns the handler of the control address.
func (e *Emulator) controlHandler() http.Handler {
	mux := http.NewServeMux()
	for pattern, handler := range map[string]func(*http.Request) (any, error){
		"GET /state": e.getState, "GET /violations": e.getViolations, "GET /starts": e.getStarts, "GET /ends": e.getEnds,
		"GET /jobs": e.getJobs, "POST /faults": e.addFault, "DELETE /faults": e.removeFaults, "DELETE /faults/{number}": e.removeFaults,
		"POST /workers/add": e.addWorker, "POST /workers/{id}/restart": e.restartWorker, "POST /workers/{id}/drain": e.drainWorker,
		"POST /workers/{id}/capacity": e.resizeWorker, "POST /configuration": e.changeConfiguration,
		"POST /keys/withdraw": e.withdrawKey, "POST /keys/add": e.addKey, "POST /waves": e.startWave, "GET /waves/{number}": e.getWave,
		"POST /evacuations": e.evacuate, "DELETE /evacuations/{zone}": e.restore, "POST /store/compact": e.compactStore,
		"POST /registrations": e.writeForeignEntry, "DELETE /registrations/{name}": e.deleteForeignEntry,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { e.serveControl(w, r, handler) })
	}
	return mux
}

// notFoundError reports a name that does not exist.
type notFoundError struct{ kind, name string }

func (e *notFoundError) Error() string { return fmt.Sprintf("there is no %s %q", e.kind, e.name) }

// serveControl carries out a command and answers it.
func (e *Emulator) serveControl(w http.ResponseWriter, r *http.Request, handler func(*http.Request) (any, error)) {
	e.mu.Lock()
	answer, err := handler(r)
	if writeErr := e.writeRegistrations(); err == nil {
		err = writeErr
	}
	e.mu.Unlock()
	if r.Method != http.MethodGet {
		e.log.Info("emulator-command", zap.String("method", r.Method), zap.String("path", r.URL.Path), zap.Error(err))
	}
	status := http.StatusOK
	var notFound *notFoundError
	switch {
	case errors.As(err, &notFound):
		status = http.StatusNotFound
	case err != nil:
		status = http.StatusBadRequest
	}
	if err != nil {
		answer = struct {
			Error string `json:"error"`
		}{err.Error()}
	}
	b, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone needs no answer.
	_, _ = w.Write(append(b, '\n'))
}

// readCommand decodes the body of a command; an empty body sets nothing.
func readCommand(r *http.Request, body any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(body); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// duration is a time.Duration in the form of time.ParseDuration.
type duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	v, err := time.ParseDuration(text)
	*d = duration(v)
	return err
}

func (e *Emulator) addFault(r *http.Request) (any, error) {
	body := struct {
		Target string   `json:"target"`
		Name   string   `json:"name"`
		Host   string   `json:"host"`
		Kind   string   `json:"kind"`
		Delay  duration `json:"delay"`
		Share  float64  `json:"share"`
		For    duration `json:"for"`
		Calls  []string `json:"calls"`
	}{}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	f := &fault{
		target: body.Target, host: body.Host, kind: emulated.FaultKind(body.Kind), delay: time.Duration(body.Delay),
		share: body.Share, operations: body.Calls,
	}
	if body.Name != "" && body.Name != "*" {
		machine, ok := e.fleet.Machine(body.Name)
		if !ok {
			return nil, &notFoundError{"worker", body.Name}
		}
		f.name = machine
	}
	if body.For > 0 {
		f.until = time.Now().Add(time.Duration(body.For))
	}
	number, err := e.faults.add(f)
	if err != nil {
		return nil, err
	}
	e.cutRegistrations()
	return struct {
		Fault int `json:"fault"`
	}{number}, nil
}

func (e *Emulator) removeFaults(r *http.Request) (any, error) {
	number := 0
	if text := r.PathValue("number"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n == 0 {
			return nil, &notFoundError{"fault", text}
		}
		number = n
	}
	if !e.faults.remove(number) && number != 0 {
		return nil, &notFoundError{"fault", strconv.Itoa(number)}
	}
	e.recorder.Disturb(time.Now())
	e.cutRegistrations()
	return struct{}{}, nil
}

func (e *Emulator) addWorker(r *http.Request) (any, error) {
	var body struct {
		Pool string `json:"pool"`
		Zone string `json:"zone"`
	}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	id, err := e.addMachine(body.Pool, body.Zone)
	if err != nil {
		return nil, err
	}
	answer := struct {
		Machine string `json:"machine"`
		Worker  string `json:"worker"`
	}{Machine: id}
	for _, m := range e.fleet.Machines() {
		if m.ID == id {
			answer.Worker = m.Worker
		}
	}
	return answer, nil
}

// commandWorker applies a command to the machine that the path names by its own ID or by that of its
// worker. The command reports whether a worker runs there.
func (e *Emulator) commandWorker(r *http.Request, command func(machine string) bool) (any, error) {
	id := r.PathValue("id")
	machine, ok := e.fleet.Machine(id)
	if !ok || !command(machine) {
		return nil, &notFoundError{"running worker", id}
	}
	e.recorder.Disturb(time.Now())
	e.wake(machine)
	e.updateListeners()
	return struct{}{}, nil
}

func (e *Emulator) restartWorker(r *http.Request) (any, error) {
	var body struct {
		DownFor duration `json:"down-for"`
		NewID   bool     `json:"new-id"`
	}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	return e.commandWorker(r, func(machine string) bool {
		return e.fleet.Restart(time.Now(), machine, time.Duration(body.DownFor), body.NewID)
	})
}

func (e *Emulator) drainWorker(r *http.Request) (any, error) {
	var body struct {
		LeaveAfter duration `json:"leave-after"`
	}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	return e.commandWorker(r, func(machine string) bool {
		return e.fleet.Drain(time.Now(), machine, time.Duration(body.LeaveAfter))
	})
}

func (e *Emulator) resizeWorker(r *http.Request) (any, error) {
	var body amount
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	return e.commandWorker(r, func(machine string) bool { return e.fleet.Resize(time.Now(), machine, body.resource()) })
}

// versionAnswer is the answer to a change of the configuration.
type versionAnswer struct {
	Version int64 `json:"version"`
}

func (e *Emulator) change(set map[string]map[string]string, remove []string) (any, error) {
	s, err := e.cfg.File.Change(set, remove)
	if err != nil {
		return nil, err
	}
	if err := e.configure(s); err != nil {
		return nil, err
	}
	return versionAnswer{e.catalog.Version}, nil
}

func (e *Emulator) changeConfiguration(r *http.Request) (any, error) {
	var body struct {
		Set    map[string]map[string]string `json:"set"`
		Remove []string                     `json:"remove"`
	}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	return e.change(body.Set, body.Remove)
}

func (e *Emulator) startWave(r *http.Request) (any, error) {
	var body struct {
		Machines []string `json:"machines"`
		Limit    int      `json:"limit"`
		Term     duration `json:"term"`
	}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	if len(body.Machines) == 0 || body.Limit < 1 || body.Term <= 0 {
		return nil, errors.New("a wave needs machines, a limit of one or more and a term")
	}
	for _, m := range body.Machines {
		if id, ok := e.fleet.Machine(m); !ok || id != m {
			return nil, &notFoundError{"machine", m}
		}
	}
	number := e.lastWave + 1
	record, err := emulated.EncodeWave(number, body.Machines, body.Limit, time.Duration(body.Term))
	if err != nil {
		return nil, err
	}
	e.lastWave = number
	e.waves[number] = false
	e.fleet.AddWave(number, body.Machines, body.Limit)
	e.store.Put(platform.OperatorPrefix+"wave/"+strconv.FormatInt(number, 10), record)
	return struct {
		Wave int64 `json:"wave"`
	}{number}, nil
}

func (e *Emulator) evacuate(r *http.Request) (any, error) {
	var body struct {
		Zone string `json:"zone"`
	}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	if body.Zone == "" {
		return nil, errors.New("zone is missing")
	}
	e.evacuated[body.Zone] = true
	e.store.Put(platform.EvacuationPrefix+body.Zone, []byte("{}"))
	e.recorder.Evacuate(time.Now(), body.Zone)
	return struct{}{}, nil
}

func (e *Emulator) restore(r *http.Request) (any, error) {
	zone := r.PathValue("zone")
	if !e.evacuated[zone] {
		return nil, &notFoundError{"evacuation of zone", zone}
	}
	delete(e.evacuated, zone)
	e.store.Delete(platform.EvacuationPrefix + zone)
	e.recorder.Restore(zone)
	return struct{}{}, nil
}

func (e *Emulator) compactStore(*http.Request) (any, error) {
	e.store.Compact()
	return struct{}{}, nil
}

// writeForeignEntry writes an entry among the registrations of workers as another writer would.
func (e *Emulator) writeForeignEntry(r *http.Request) (any, error) {
	var body struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	e.store.Put(platform.WorkerPrefix+body.Name, []byte(body.Value))
	return struct{}{}, nil
}

func (e *Emulator) deleteForeignEntry(r *http.Request) (any, error) {
	e.store.Delete(platform.WorkerPrefix + r.PathValue("name"))
	return struct{}{}, nil
}

// amount is the JSON form of an amount of resources.
type amount struct {
	Cores        float64 `json:"cores"`
	Memory       int     `json:"memory"`
	Accelerators int     `json:"accelerators"`
}

const millicores = 1000

func (a amount) resource() resource.Amount {
	return resource.Amount{CPU: int(a.Cores * millicores), Memory: a.Memory, Accelerators: a.Accelerators}
}

func newAmount(a resource.Amount) amount {
	return amount{float64(a.CPU) / millicores, a.Memory, a.Accelerators}
}
